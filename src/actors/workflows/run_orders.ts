import {Placement, TaskRecord} from '../../decisions/workflows';
import {
  HostAddress,
  HostAnswer,
  HostCallFailure,
  HostRefusal,
  TaskHosts,
} from '../../ports/hosts';
import {delay} from '../../state';

/** Orders to one host, given until they are answered. */
export interface RunOrders {
  /** Orders the start of a placed task's run. */
  start(task: TaskRecord, placement: Placement, ticket: string): Promise<void>;
  /** Orders the end of a run. */
  stop(task: TaskRecord, placement: Placement): Promise<void>;
  /** Orders the share at which a run works; once, as a later order replaces it. */
  pace(task: TaskRecord, placement: Placement, percent: number): Promise<void>;
}

/** What orders to a host need of the session with it. */
export interface RunOrdersOptions {
  readonly hosts: TaskHosts;
  readonly address: HostAddress;
  readonly fence: number;
  readonly signal: AbortSignal;
  /** Tells whether the session still has the run. */
  readonly isCurrent: (task: TaskRecord, placement: Placement) => boolean;
  /** Returns the end of the next lease on the host's clock in ms; undefined while it may not be extended. */
  readonly nextLease: () => number | undefined;
  /** The host has answered an order. */
  readonly onAnswer: (answer: HostAnswer) => void;
  /** A call has no answer of the host that was meant; it was sent at a steady time in ms. */
  readonly onFailure: (
    call: string,
    failure: HostCallFailure,
    sentAt: number,
  ) => void;
  /** Reports that are made from now on list the run, or its end. */
  readonly onSettled: (placement: Placement) => void;
  readonly onStarted: (task: TaskRecord) => void;
  /** The run was certainly not started. */
  readonly onRefused: (task: TaskRecord, cause: string) => void;
  /** The host obeys a later leader. */
  readonly onFenced: () => void;
}

/** Wait after a call that got no answer, in ms. */
const RETRY_MS = 200;

/**
 * Creates the orders to one life of a host.
 *
 * @param options the host, the term and what to call
 */
export function createRunOrders({
  hosts,
  address,
  fence,
  signal,
  isCurrent,
  nextLease,
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
    let untilMs: number | undefined;
    while (isCurrent(task, placement) && !placement.stopping) {
      untilMs ??= nextLease();
      if (untilMs === undefined) {
        await delay(RETRY_MS, signal);
        continue;
      }
      const sentAt = performance.now();
      const answer = await hosts.start(address, {
        task: task.name,
        run: placement.run,
        spec: task.workflow.spec,
        fence,
        untilMs,
        checkpoint: task.checkpoint,
        ticket,
      });
      if (!isCurrent(task, placement)) return;
      if (answer.isOk) {
        onAnswer(answer.value);
        const {refusal} = answer.value;
        if (refusal === HostRefusal.Fenced) return onFenced();
        if (refusal === undefined || refusal === HostRefusal.OldRun) {
          if (placement.stopping) break;
          onSettled(placement);
          return onStarted(task);
        }
        return giveUp(task, placement, unanswered, refusal);
      }
      onFailure('start', answer.error, sentAt);
      if (answer.error !== HostCallFailure.NoAnswer) {
        return giveUp(task, placement, unanswered, answer.error);
      }
      unanswered = true;
      await delay(RETRY_MS, signal);
    }
    if (isCurrent(task, placement)) return stop(task, placement);
  }

  /** An order that was refused was not carried out, but an earlier copy of it may be. */
  function giveUp(
    task: TaskRecord,
    placement: Placement,
    unanswered: boolean,
    cause: string,
  ): void {
    if (unanswered) return void stop(task, placement);
    onRefused(task, cause);
  }

  async function stop(task: TaskRecord, placement: Placement): Promise<void> {
    placement.stopping = true;
    while (isCurrent(task, placement)) {
      const sentAt = performance.now();
      const answer = await hosts.stop(address, {
        task: task.name,
        run: placement.run,
        fence,
      });
      if (!isCurrent(task, placement)) return;
      if (answer.isOk) {
        onAnswer(answer.value);
        if (answer.value.refusal === HostRefusal.Fenced) return onFenced();
        placement.stoppedAt = performance.now();
        return onSettled(placement);
      }
      onFailure('stop', answer.error, sentAt);
      await delay(RETRY_MS, signal);
    }
  }

  return {
    start,
    stop,
    async pace({name}, placement, percent) {
      const {run} = placement;
      placement.pace = percent;
      const answer = await hosts.pace(
        address,
        {task: name, run, fence},
        percent,
      );
      // An order that may not have arrived is given again.
      if (answer.isErr || answer.value.refusal) placement.pace = -1;
    },
  };
}
