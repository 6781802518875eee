import {delay} from '../../src/state';
import {BOUNDS} from './bounds';
import {CallRecord, Caller} from './caller';
import {Disturbances} from './disturbances';
import {Operator} from './operator';
import {listKeys} from './organisations';
import {Plants} from './plant';
import {Random} from './random';
import {RunHistory} from './run_history';
import {createStateCheck} from './state_check';
import {CallEnd, Submission, drawSubmission} from './submission';
import {Check, Verdict} from './verdict';

/** Callers that submit workflows without pause and follow them to their end. */
export interface Callers {
  start(): void;
  /** Submits a workflow at one entry host; resolves to whether it accepted. */
  submitAt(entry: number): Promise<boolean>;
  /** Submits nothing more; workflows under way are still followed. */
  stop(): void;
  /** Returns accepted workflows whose final state nobody was shown. */
  listUnfinished(): readonly Submission[];
  /** Returns the longest time in ms after which a caller was told to come back. */
  getMaxRetryAfterMs(): number;
  /** Stops following workflows. */
  dispose(): void;
}

/** Options of the callers. */
export interface CallersOptions {
  readonly caller: Caller;
  readonly entryCount: number;
  readonly operator: Operator;
  readonly submissions: Map<string, Submission>;
  readonly history: RunHistory;
  readonly verdict: Verdict;
  readonly plants: Plants;
  readonly random: Random;
}

const SUBMISSIONS_PER_SECOND = 6;
/** Number of unfinished workflows above which no more are submitted. */
const MAX_UNFINISHED = 120;
const MAX_ATTEMPTS = 6;
/** Answers after which it is not known whether the call had an effect. */
const UNKNOWN_STATUS = [0, 502, 504];
const HALF_SENT_STATUS = 408;
const REFUSED_STATUS = [401, 429, 503];
const CANCELLED_STATUS = [200, 410];

/** Creates callers that submit nothing yet. */
export function createCallers({
  caller,
  entryCount,
  operator,
  submissions,
  history,
  verdict,
  plants,
  random,
}: CallersOptions): Callers {
  let stopped = false;
  let maxRetryAfterMs = 0;
  let disposed = false;
  let timer: NodeJS.Timeout | undefined;

  const checkState = createStateCheck({history, verdict, plants});
  const pickEntry = () => random.between(0, entryCount - 1);

  /** Returns a key that the latest configuration holds. */
  function pickKey({organisation}: Submission): string | undefined {
    const keys = organisation && listKeys(organisation.name, operator.version);
    return keys && random.pick(keys);
  }

  function callOwn(
    submission: Submission,
    method: string,
  ): Promise<CallRecord> {
    const key = pickKey(submission);
    return caller.call(pickEntry(), method, submission.path, {key});
  }

  function listUnfinished(): readonly Submission[] {
    return [...submissions.values()].filter(
      ({acceptedAt, finalState}) =>
        acceptedAt !== undefined && finalState === undefined,
    );
  }

  function createSubmission(): Submission {
    const submission = drawSubmission(random, submissions.size + 1);
    submissions.set(submission.id, submission);
    return submission;
  }

  /** Sends a submission once and records what its caller learns. */
  async function attempt(
    submission: Submission,
    entry: number,
  ): Promise<CallRecord> {
    submission.openAttempts += 1;
    const {path, body, id} = submission;
    const key = pickKey(submission);
    const record = await caller.call(entry, 'POST', path, {body, key});
    submission.openAttempts -= 1;
    maxRetryAfterMs = Math.max(maxRetryAfterMs, record.retryAfterMs);
    if (record.status === 200) {
      if (submission.acceptedAt !== undefined) return record;
      if (plants.take(Check.Refusals)) {
        return {...record, status: REFUSED_STATUS[0], retryAfterMs: 1_000};
      }
      submission.acceptedAt = performance.now();
    } else if (isUnknown(record)) {
      submission.maybeStored = true;
    } else if (!REFUSED_STATUS.includes(record.status)) {
      const detail = `${record.status} at entry ${entry + 1}`;
      verdict.report(Check.Kept, `submission of ${id}`, detail);
    }
    return record;
  }

  async function submit(submission: Submission): Promise<void> {
    let entry = pickEntry();
    for (let count = 0; count < MAX_ATTEMPTS && !disposed; count += 1) {
      const record = await attempt(submission, entry);
      const {status, retryAfterMs} = record;
      if (status === 200) break;
      // Some callers give up a submission whose outcome they don't know.
      if (isUnknown(record) && random.chance(0.2)) return cancel(submission);
      const refused = REFUSED_STATUS.includes(status);
      if (refused && random.chance(0.5)) break;
      const pauseMs = Math.min(retryAfterMs, BOUNDS.recoveryMs);
      await delay(refused ? pauseMs : random.between(50, 600));
      entry = (entry + random.between(1, entryCount - 1)) % entryCount;
    }
    if (submission.acceptedAt !== undefined) return follow(submission);
    if (submission.maybeStored || disposed) return;
    submission.refused = true;
    history.follow();
    if (history.hasStarted(submission.id)) {
      verdict.report(Check.Refusals, submission.id, 'had started before');
    }
  }

  /** Asks for the state of an accepted workflow until it is final. */
  async function follow(submission: Submission): Promise<void> {
    if (random.chance(0.08)) void cancel(submission);
    if (random.chance(0.1)) void repeat(submission);
    while (submission.finalState === undefined && !disposed) {
      await delay(random.between(300, 1_000));
      checkState(submission, await callOwn(submission, 'GET'));
    }
    // A final state stays, also at another entry host.
    await delay(random.between(100, 2_000));
    if (disposed) return;
    const record = await callOwn(submission, 'GET');
    checkState(submission, record);
  }

  async function repeat(submission: Submission): Promise<void> {
    await delay(random.between(100, 4_000));
    if (!disposed) await attempt(submission, pickEntry());
  }

  async function cancel(submission: Submission): Promise<void> {
    await delay(random.between(20, 1_200));
    while (submission.cancelledAt === undefined && !disposed) {
      submission.cancelSentAt ??= performance.now();
      const record = await callOwn(submission, 'DELETE');
      if (CANCELLED_STATUS.includes(record.status)) {
        submission.cancelledAt = performance.now();
      } else await delay(random.between(100, 600));
    }
  }

  return {
    start() {
      timer = setInterval(() => {
        if (stopped || listUnfinished().length > MAX_UNFINISHED) return;
        void submit(createSubmission());
      }, 1_000 / SUBMISSIONS_PER_SECOND);
    },
    async submitAt(entry) {
      const submission = createSubmission();
      const {status} = await attempt(submission, entry);
      if (submission.acceptedAt !== undefined) void follow(submission);
      else submission.refused = !submission.maybeStored;
      return status === 200;
    },
    stop() {
      stopped = true;
    },
    listUnfinished,
    getMaxRetryAfterMs: () => maxRetryAfterMs,
    dispose() {
      disposed = true;
      clearInterval(timer);
    },
  };
}

/** Returns whether a submission may have been stored. */
function isUnknown({status, calm}: CallRecord): boolean {
  // A fault may let the headers of a request through but not its body.
  const isHalfSent = status === HALF_SENT_STATUS && !calm;
  return isHalfSent || UNKNOWN_STATUS.includes(status);
}

/** Returns whether a call got no answer although nothing kept it from one. */
export function isCutWithoutCause(
  {sentAt, endedAt, end, served, calm}: CallRecord,
  disturbances: Disturbances,
): boolean {
  const lagMs = disturbances.getLagMs(sentAt, endedAt);
  return (
    served &&
    end === CallEnd.Cut &&
    calm &&
    endedAt - sentAt - lagMs > BOUNDS.lossSlackMs
  );
}
