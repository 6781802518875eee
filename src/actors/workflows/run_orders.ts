import {Placement, TaskRecord} from '../../decisions/workflows';
import {
  HostAddress,
  HostAnswer,
  HostCallFailure,
  HostRefusal,
  TaskHosts,
} from '../../ports/hosts';
import {delay} from '../../state';
import {HostIncarnation} from './host_incarnation';
import {UnansweredStarts} from './unanswered_starts';

/**
 * Sends orders to one host. Start and stop orders are retried until they are
 * answered.
 */
export interface RunOrders {
  /**
   * Orders the start of a placed task's run and retries until it is started,
   * refused or stopped.
   */
  start(task: TaskRecord, placement: Placement, ticket: string): Promise<void>;
  /** Orders a run to stop. */
  stop(task: TaskRecord, placement: Placement): Promise<void>;
  /**
   * Orders the pace of a run, in percent of its full speed. Sent once without
   * retries, as a later order replaces it.
   */
  pace(task: TaskRecord, placement: Placement, percent: number): Promise<void>;
}

/** Dependencies of the orders to one host. */
export interface RunOrdersOptions {
  readonly hosts: TaskHosts;
  /** Returns the address at which the host is now. */
  readonly getAddress: () => HostAddress;
  readonly fence: number;
  readonly signal: AbortSignal;
  /** Start orders of the term, to all hosts. */
  readonly unansweredStarts: UnansweredStarts;
  /** Returns whether the run still belongs to the session. */
  readonly isCurrent: (task: TaskRecord, placement: Placement) => boolean;
  /** Returns whether a stop without an answer may be sent again now. */
  readonly mayRepeatStop: (task: TaskRecord, placement: Placement) => boolean;
  /** Returns the incarnation of the host that is known to have answered last. */
  readonly getIncarnation: () => HostIncarnation;
  /**
   * Returns the time on the clock of this incarnation, in ms, at which the next
   * lease expires; undefined while leases may not be extended.
   */
  readonly nextLease: () => number | undefined;
  /** Returns whether the host has answered a call since a monotonic time in ms. */
  readonly hasAnsweredSince: (time: number) => boolean;
  /**
   * Called when the host has answered an order to one of its incarnations.
   * `sentAt` is the monotonic time of the call in ms.
   */
  readonly onAnswer: (
    answer: HostAnswer,
    incarnation: HostIncarnation,
    sentAt: number,
  ) => void;
  /**
   * Called when a call got no answer from the intended host incarnation.
   * `sentAt` is the monotonic time of the call in ms, `called` its address.
   */
  readonly onFailure: (
    call: string,
    failure: HostCallFailure,
    sentAt: number,
    called: HostAddress,
  ) => void;
  /** Called when all reports requested from now on list the run or its end. */
  readonly onSettled: (placement: Placement) => void;
  readonly onStarted: (task: TaskRecord) => void;
  /** Called when the run was certainly not started. */
  readonly onRefused: (task: TaskRecord, cause: string) => void;
  /** Called when the host has accepted the fencing token of a later leader. */
  readonly onFenced: () => void;
}

/** Delay before retrying an unanswered call, in ms. */
const RETRY_MS = 200;
/** Interval in ms of the checks whether a silent host answers again. */
const ANSWER_POLL_MS = 50;

/**
 * Creates the orders to one host.
 *
 * @param options the host, the term and callbacks
 */
export function createRunOrders({
  hosts,
  getAddress,
  fence,
  signal,
  unansweredStarts,
  isCurrent,
  mayRepeatStop,
  getIncarnation,
  nextLease,
  hasAnsweredSince,
  onAnswer,
  onFailure,
  onSettled,
  onStarted,
  onRefused,
  onFenced,
}: RunOrdersOptions): RunOrders {
  async function start(
    task: TaskRecord,
    placement: Placement,
    ticket: string,
  ): Promise<void> {
    let unanswered = false;
    let incarnation = getIncarnation();
    let untilMs: number | undefined;
    let sentAt = -Infinity;
    while (isCurrent(task, placement) && !placement.stopping) {
      // Each attempt may reach a later incarnation and extend its lease.
      if (!hasAnsweredSince(sentAt)) {
        await delay(ANSWER_POLL_MS, signal);
        continue;
      }
      if (incarnation !== getIncarnation()) {
        // The lease was a time on the clock of the earlier incarnation.
        incarnation = getIncarnation();
        untilMs = undefined;
      }
      untilMs ??= nextLease();
      if (untilMs === undefined) {
        await delay(RETRY_MS, signal);
        continue;
      }
      incarnation.clock.recordLease(untilMs);
      sentAt = performance.now();
      const address = getAddress();
      const name = {task: task.name, run: placement.run};
      unansweredStarts.add(address.id, name);
      const answer = await hosts.start(address, {
        ...name,
        spec: task.workflow.spec,
        fence,
        untilMs,
        checkpoint: task.checkpoint,
        ticket,
      });
      unanswered ||= answer.isErr && answer.error === HostCallFailure.NoAnswer;
      if (!unanswered) unansweredStarts.remove(address.id, name);
      if (!isCurrent(task, placement)) return;
      if (answer.isOk) {
        onAnswer(answer.value, incarnation, sentAt);
        const {refusal} = answer.value;
        if (refusal === HostRefusal.Fenced) return onFenced();
        if (refusal === undefined || refusal === HostRefusal.OldRun) {
          if (placement.stopping) break;
          onSettled(placement);
          return onStarted(task);
        }
        return handleRefusal(task, placement, unanswered, refusal);
      }
      onFailure('start', answer.error, sentAt, address);
      if (answer.error !== HostCallFailure.NoAnswer) {
        return handleRefusal(task, placement, unanswered, answer.error);
      }
      await delay(RETRY_MS, signal);
    }
    if (isCurrent(task, placement)) return stop(task, placement);
  }

  /**
   * Handles a refused start. The refused call had no effect, but an earlier
   * unanswered attempt may have started the run, so it must be stopped.
   */
  function handleRefusal(
    task: TaskRecord,
    placement: Placement,
    unanswered: boolean,
    cause: string,
  ): void | Promise<void> {
    if (!unanswered) return onRefused(task, cause);
    return stop(task, placement);
  }

  async function stop(task: TaskRecord, placement: Placement): Promise<void> {
    placement.stopping = true;
    while (isCurrent(task, placement)) {
      const sentAt = performance.now();
      const incarnation = getIncarnation();
      const address = getAddress();
      const answer = await hosts.stop(address, {
        task: task.name,
        run: placement.run,
        fence,
      });
      if (!isCurrent(task, placement)) return;
      if (answer.isOk) {
        onAnswer(answer.value, incarnation, sentAt);
        if (answer.value.refusal === HostRefusal.Fenced) return onFenced();
        placement.stoppedAt = performance.now();
        return onSettled(placement);
      }
      onFailure('stop', answer.error, sentAt, address);
      do await delay(RETRY_MS, signal);
      while (isCurrent(task, placement) && !mayRepeatStop(task, placement));
    }
  }

  return {
    start,
    stop,
    async pace({name}, placement, percent) {
      const {run} = placement;
      placement.pace = percent;
      const answer = await hosts.pace(
        getAddress(),
        {task: name, run, fence},
        percent,
      );
      // The order may not have been applied; -1 makes the next review repeat
      // it.
      if (answer.isErr || answer.value.refusal) placement.pace = -1;
    },
  };
}
