import {RefusalReason} from '../../types';

/** Inputs of the admission of one request; times are in ms. */
export interface AdmissionInputs {
  /** Time until the request is due. */
  readonly timeLeftMs: number;
  /** Expected duration of one run; 0 if no run has ended yet. */
  readonly runMs: number;
  /** Number of slots available to the entry host. */
  readonly slots: number;
  /** Number of running requests. */
  readonly running: number;
  /** Number of waiting requests of the request's rank, of all teams. */
  readonly waiting: number;
  /** Maximum number of waiting requests of the rank. */
  readonly queueLimit: number;
  /** Number of waiting requests of equal or higher rank. */
  readonly ahead: number;
  /** Number of waiting requests of the team within the rank. */
  readonly teamAhead: number;
  /** Fraction of the slots that the team gets while other teams wait. */
  readonly teamShare: number;
}

/** Refusal of a request by admission control. */
export interface AdmissionRefusal {
  readonly reason: RefusalReason;
  /** Time after which a retry may succeed, in ms. */
  readonly retryAfterMs: number;
  /** Expected time until the request would start, in ms. */
  readonly waitMs: number;
}

/**
 * Fraction of the time until a request is due that its expected wait and run
 * may take.
 */
const MAX_DEADLINE_FRACTION = 0.9;
/** Fill level of the queue above which team quotas are enforced. */
const QUOTA_FILL_LEVEL = 0.5;

/**
 * Decides whether a request is admitted to the queue, and after what time a
 * refused request may be retried.
 *
 * @returns the refusal, or undefined if the request is admitted
 */
export function findAdmissionRefusal(
  inputs: AdmissionInputs,
): AdmissionRefusal | undefined {
  const waitMs = getExpectedWaitMs(inputs);
  const drainMs = (inputs.waiting * inputs.runMs) / Math.max(1, inputs.slots);
  if (inputs.waiting >= inputs.queueLimit) {
    return {
      reason: RefusalReason.QueueFull,
      waitMs,
      retryAfterMs: Math.max(inputs.runMs, drainMs),
    };
  }
  if (exceedsQuota(inputs)) {
    return {
      reason: RefusalReason.TeamQuota,
      waitMs,
      retryAfterMs: Math.max(inputs.runMs, waitMs),
    };
  }
  const lateMs =
    waitMs + inputs.runMs - inputs.timeLeftMs * MAX_DEADLINE_FRACTION;
  if (lateMs <= 0 || inputs.running + inputs.waiting === 0) return undefined;
  return {
    reason: RefusalReason.DeadlineUnreachable,
    waitMs,
    retryAfterMs: lateMs,
  };
}

/**
 * Returns the expected wait in ms: behind all requests ahead or, if shorter,
 * behind the team's own requests on its share of the slots.
 */
function getExpectedWaitMs(inputs: AdmissionInputs): number {
  const {runMs, slots, running, ahead, teamAhead, teamShare} = inputs;
  if (ahead === 0 && running < slots) return 0;
  const rounds = (ahead + 1) / Math.max(1, slots);
  const ownSlots = Math.max(1, slots * teamShare);
  const ownRounds = (teamAhead + 1) / ownSlots;
  return runMs * Math.min(rounds, ownRounds);
}

function exceedsQuota(inputs: AdmissionInputs): boolean {
  const {waiting, queueLimit, teamAhead, teamShare} = inputs;
  if (waiting < queueLimit * QUOTA_FILL_LEVEL) return false;
  return teamAhead >= queueLimit * teamShare;
}
