import {RefusalReason} from '../../types';

/** What the admission of one request rests on; times are in ms. */
export interface AdmissionInputs {
  /** Time until the request is due. */
  readonly timeLeftMs: number;
  /** Expected time of one run; 0 if none has ended yet. */
  readonly runMs: number;
  /** Slots that the entry host may count on. */
  readonly slots: number;
  readonly running: number;
  /** Requests that wait, of all teams. */
  readonly waiting: number;
  readonly queueLimit: number;
  /** Requests of equal or higher rank that wait. */
  readonly ahead: number;
  /** Requests of the team among them. */
  readonly teamAhead: number;
  /** Share of the slots, 0 to 1, that the team gets while others wait. */
  readonly teamShare: number;
}

/** Why a request isn't let in. */
export interface AdmissionRefusal {
  readonly reason: RefusalReason;
  /** Time after which a repeat may succeed, in ms. */
  readonly retryAfterMs: number;
  /** Expected time until the request would start, in ms. */
  readonly waitMs: number;
}

/** Share of a request's time that its expected wait and run may fill. */
const DEADLINE_SHARE = 0.9;
/** Share of the queue from which a team is held to its quota. */
const QUOTA_QUEUE_SHARE = 0.5;

/**
 * Decides whether a request may wait, and for how long a refused one should stay away.
 *
 * @returns the refusal, or undefined to let it in
 */
export function findAdmissionRefusal(
  inputs: AdmissionInputs,
): AdmissionRefusal | undefined {
  const waitMs = expectedWait(inputs);
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
  const lateMs = waitMs + inputs.runMs - inputs.timeLeftMs * DEADLINE_SHARE;
  if (lateMs <= 0 || inputs.running + inputs.waiting === 0) return undefined;
  return {
    reason: RefusalReason.DeadlineUnreachable,
    waitMs,
    retryAfterMs: lateMs,
  };
}

/** A team waits behind all others or, if that is shorter, behind itself at its share. */
function expectedWait(inputs: AdmissionInputs): number {
  const {runMs, slots, running, ahead, teamAhead, teamShare} = inputs;
  if (ahead === 0 && running < slots) return 0;
  const rounds = (ahead + 1) / Math.max(1, slots);
  const ownSlots = Math.max(1, slots * teamShare);
  const ownRounds = (teamAhead + 1) / ownSlots;
  return runMs * Math.min(rounds, ownRounds);
}

function exceedsQuota(inputs: AdmissionInputs): boolean {
  const {waiting, queueLimit, teamAhead, teamShare} = inputs;
  if (waiting < queueLimit * QUOTA_QUEUE_SHARE) return false;
  return teamAhead >= queueLimit * teamShare;
}
