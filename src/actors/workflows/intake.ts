import {Result} from 'true-myth';
import {
  LoadReport,
  checkAdmission,
  checkTaskLimit,
  measureTasks,
  isFinal,
  isVisible,
} from '../../decisions/workflows';
import {Store, StoreEntry, StoreFailure} from '../../ports';
import {startStopwatch} from '../../state';
import {Log} from '../../telemetry';
import {Caller, Queue, Workflow, WorkflowState} from '../../types/workflow';
import {CancelOutcome} from './cancel_outcome';
import {getCancelKey, getWorkKey} from './keys';
import {createRecentEntries} from './recent_entries';
import {createRecentTasks} from './recent_tasks';
import {createRepeatedWrites} from './repeated_writes';
import {createStateReader} from './state_reader';
import {SubmitAnswer} from './submit_answer';
import {SubmitOutcome} from './submit_outcome';
import {createWithdrawals} from './withdrawals';
import {createWorkflowCreator} from './workflow_creator';
import {WorkflowDraft} from './workflow_draft';

/** Handles the workflow requests of callers at one entry host. */
export interface Intake {
  /**
   * Accepts or refuses a workflow.
   *
   * @param waitMs time in ms for which the caller waits for the answer
   */
  submit(
    queue: Queue,
    id: string,
    draft: WorkflowDraft,
    caller: Caller,
    waitMs?: number,
  ): Promise<SubmitAnswer>;
  /**
   * Returns whether an earlier submission of the id through this entry host has
   * an unknown outcome, so that it must not be called refused.
   */
  mayBeStored(id: string): boolean;
  /**
   * Returns the state of a workflow; undefined if the queue has no such
   * workflow that the caller may know of.
   */
  readState(
    queue: Queue,
    id: string,
    caller: Caller,
  ): Promise<Result<WorkflowState | undefined, StoreFailure>>;
  /**
   * Cancels a workflow, or withdraws submissions of the id that may still be in
   * transit.
   *
   * @param waitMs time in ms for which the caller waits for the answer
   */
  cancel(
    queue: Queue,
    id: string,
    caller: Caller,
    waitMs?: number,
  ): Promise<CancelOutcome>;
  /**
   * Returns the number of a queue's accepted workflows of which no task has
   * started, as the leader last published it.
   */
  countWaiting(queue: string): number;
}

/** Dependencies of an intake. */
export interface IntakeOptions {
  readonly store: Store;
  /**
   * Waits until the store answers, for the given time in ms at most; resolves
   * to whether it does.
   */
  readonly whenConnected: (timeoutMs: number) => Promise<boolean>;
  /** Returns the leader's last report; undefined if none was received. */
  readonly getLoad: () => LoadReport | undefined;
  /** Returns the time in ms since that report was received. */
  readonly getLoadAgeMs: () => number;
  /** Returns the current Unix time in ms. */
  readonly unixNow: () => number;
  readonly log: Log;
}

/** Time in ms that callers wait for an answer if they don't say. */
const DEFAULT_WAIT_MS = 2_000;
/**
 * Share of a caller's wait that attempts to store its request may take; the
 * rest is for an attempt of the caller's at another entry host.
 */
const ATTEMPTS_SHARE = 0.5;
/**
 * Share of a caller's wait for which its submission waits for a store that is
 * away; a short outage then costs the caller none of its attempts.
 */
const CONNECTION_WAIT_SHARE = 0.2;
/**
 * Time in ms after which the leader's report counts an accepted workflow.
 */
const REPORT_LAG_MS = 1_500;
/** Answer while the store is unavailable. */
const UNAVAILABLE: SubmitAnswer = {
  outcome: SubmitOutcome.Unavailable,
  retryAfterMs: 1_000,
};
/** Number of workflows of each kind that an entry host remembers. */
const MAX_RECENT = 4_096;

/**
 * Creates the intake of an entry host.
 *
 * A workflow is accepted by creating its key in the store, so submitting the
 * same id at any entry host refers to the same workflow.
 *
 * @param options the store, the leader's load report and the log
 */
export function createIntake({
  store,
  whenConnected,
  getLoad,
  getLoadAgeMs,
  unixNow,
  log,
}: IntakeOptions): Intake {
  const writes = createRepeatedWrites(store);
  const creator = createWorkflowCreator(writes);
  const withdrawals = createWithdrawals(writes);
  const states = createStateReader(store);
  /** Workflows that were cancelled through this entry host. */
  const cancelled = createRecentEntries<true>(MAX_RECENT);
  const recent = createRecentTasks(REPORT_LAG_MS);
  /**
   * Workflows with an unknown outcome at this entry host. They may be stored,
   * even seconds later, so it must not say that they will not run.
   */
  const unknown = createRecentEntries<true>(MAX_RECENT);

  async function submit(
    queue: Queue,
    id: string,
    draft: WorkflowDraft,
    caller: Caller,
    waitMs: number,
  ): Promise<SubmitAnswer> {
    const getElapsedMs = startStopwatch();
    const connectionWaitMs = waitMs * CONNECTION_WAIT_SHARE;
    if (!(await whenConnected(connectionWaitMs))) return UNAVAILABLE;
    const workflow: Workflow = {
      id,
      queue: queue.name,
      ...(caller.organisation === undefined
        ? {}
        : {organisation: caller.organisation.name}),
      pool: queue.pool,
      priority: queue.priority,
      maxAttempts: queue.maxAttempts,
      stretch: queue.stretch,
      targetDurationMs: queue.targetDurationMs,
      ...(queue.advice === undefined ? {} : {advice: queue.advice}),
      acceptedAt: unixNow(),
      ...draft,
    };
    const load = getLoad();
    const loadAgeMs = getLoadAgeMs();
    const taskCount = measureTasks(workflow);
    const refusal =
      checkTaskLimit(taskCount, load?.tasks ?? 0, recent.count()) ??
      checkAdmission(workflow, load, loadAgeMs);
    if (refusal && !unknown.has(id)) {
      const known = await store.get(getWorkKey(id));
      if (known.isOk && known.value) {
        return {outcome: judgeRepetition(known.value, queue, caller)};
      }
      const {retryAfterMs} = refusal;
      return {outcome: SubmitOutcome.Refused, retryAfterMs, refusal};
    }
    recent.add(taskCount);
    const leftMs = waitMs - getElapsedMs();
    return create(workflow, queue, caller, leftMs * ATTEMPTS_SHARE);
  }

  /**
   * Returns the outcome of a submission whose id exists.
   *
   * @param entry stored workflow; undefined if it was removed meanwhile
   */
  function judgeRepetition(
    entry: StoreEntry | undefined,
    queue: Queue,
    caller: Caller,
  ): SubmitOutcome {
    if (!entry) return SubmitOutcome.Unknown;
    const workflow = parseWorkflow(entry.value);
    return workflow && isVisible(workflow, queue, caller)
      ? SubmitOutcome.Accepted
      : SubmitOutcome.Taken;
  }

  async function create(
    workflow: Workflow,
    queue: Queue,
    caller: Caller,
    waitMs: number,
  ): Promise<SubmitAnswer> {
    const result = await creator.create(workflow, waitMs);
    if (result.isOk) {
      const {applied, found} = result.value;
      if (applied) return {outcome: SubmitOutcome.Accepted};
      const known = found.find(({key}) => key === getWorkKey(workflow.id));
      if (!known && found.length > 0) {
        return {outcome: SubmitOutcome.Withdrawn};
      }
      return {outcome: judgeRepetition(known, queue, caller)};
    }
    return result.error === StoreFailure.AnswerLost
      ? {outcome: SubmitOutcome.Unknown}
      : UNAVAILABLE;
  }

  async function readState(
    queue: Queue,
    id: string,
    caller: Caller,
  ): Promise<Result<WorkflowState | undefined, StoreFailure>> {
    const stored = await states.read(id);
    return stored.map(found => {
      if (!found || !isVisible(found, queue, caller)) return undefined;
      if (isFinal(found.state)) return found.state;
      return cancelled.has(id) ? WorkflowState.Cancelled : found.state;
    });
  }

  async function cancel(
    queue: Queue,
    id: string,
    caller: Caller,
    waitMs: number,
  ): Promise<CancelOutcome> {
    const getElapsedMs = startStopwatch();
    const getAttemptsMs = () => (waitMs - getElapsedMs()) * ATTEMPTS_SHARE;
    const stored = await states.read(id);
    if (stored.isErr) return CancelOutcome.Unavailable;
    if (stored.value) {
      if (!isVisible(stored.value, queue, caller)) {
        return CancelOutcome.NotFound;
      }
      if (isFinal(stored.value.state)) return CancelOutcome.Cancelled;
      return requestCancellation(id, getAttemptsMs());
    }
    const result = await withdrawals.withdraw(
      queue,
      id,
      caller,
      getAttemptsMs(),
    );
    if (result.isErr) return getFailedOutcome(result.error);
    const {applied, found} = result.value;
    if (applied) return CancelOutcome.Withdrawn;
    // The workflow was stored meanwhile.
    const [entry] = found;
    if (!entry) return CancelOutcome.Unknown;
    const workflow = parseWorkflow(entry.value);
    return workflow && isVisible(workflow, queue, caller)
      ? requestCancellation(id, getAttemptsMs())
      : CancelOutcome.NotFound;
  }

  /** Asks the leader to cancel a stored workflow. */
  async function requestCancellation(
    id: string,
    waitMs: number,
  ): Promise<CancelOutcome> {
    if (cancelled.has(id)) return CancelOutcome.Cancelled;
    const result = await writes.transact(
      {
        conditions: new Map(),
        puts: [{key: getCancelKey(id), value: JSON.stringify(unixNow())}],
        removals: [],
      },
      waitMs,
    );
    if (result.isErr) return getFailedOutcome(result.error);
    cancelled.set(id, true);
    return CancelOutcome.Cancelled;
  }

  return {
    async submit(queue, id, draft, caller, waitMs = DEFAULT_WAIT_MS) {
      let answer = await submit(queue, id, draft, caller, waitMs);
      if (answer.outcome === SubmitOutcome.Unknown) unknown.set(id, true);
      if (answer.outcome === SubmitOutcome.Unavailable && unknown.has(id)) {
        answer = {...answer, outcome: SubmitOutcome.Unknown};
      }
      log.info('submission', {
        request: id,
        decision: 'accept',
        outcome: answer.outcome,
        queue: queue.name,
        organisation: caller.organisation?.name,
        pool: queue.pool,
        retryAfterMs: answer.retryAfterMs,
        ...answer.refusal,
      });
      return answer;
    },
    mayBeStored: id => unknown.has(id),
    readState,
    async cancel(queue, id, caller, waitMs = DEFAULT_WAIT_MS) {
      const outcome = await cancel(queue, id, caller, waitMs);
      log.info('cancellation', {
        request: id,
        decision: 'cancel',
        outcome,
        submission: unknown.has(id) ? SubmitOutcome.Unknown : undefined,
      });
      return outcome;
    },
    countWaiting: queue => getLoad()?.waiting?.[queue] ?? 0,
  };
}

/** Returns the outcome of a cancellation that the store did not confirm. */
function getFailedOutcome(failure: StoreFailure): CancelOutcome {
  return failure === StoreFailure.AnswerLost
    ? CancelOutcome.Unknown
    : CancelOutcome.Unavailable;
}

/** Returns undefined if the value is not a workflow. */
function parseWorkflow(value: string): Workflow | undefined {
  try {
    return (JSON.parse(value) as Workflow | null) ?? undefined;
  } catch {
    return undefined;
  }
}
