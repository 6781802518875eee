/** A running attempt that may be preempted. */
export interface PreemptionCandidate {
  readonly jobId: string;
  /** Number of slots that it holds. */
  readonly slots: number;
  readonly idempotent: boolean;
  /** Expected remaining run time, in ms. */
  readonly remainingMs: number;
  /** Time left until it is due, in ms. */
  readonly dueInMs: number;
  /** Run time of the current attempt until now, in ms. */
  readonly ranMs: number;
  /** Number of times that it has been preempted before. */
  readonly preemptions: number;
}

/** Inputs of the choice of victims. */
export interface VictimInputs {
  readonly running: readonly PreemptionCandidate[];
  /** Number of slots that interactive requests lack. */
  readonly neededSlots: number;
  /** Number of slots guaranteed to long jobs under contention. */
  readonly guaranteedSlots: number;
}

/**
 * Minimum run time in ms before a job is preempted again, unless there is no
 * other victim.
 */
const MIN_RUN_MS = 3_000;
/**
 * Remaining run time in ms below which a job is left to finish, unless there is
 * no other victim.
 */
const ALMOST_DONE_MS = 500;

/**
 * Chooses the jobs to checkpoint and preempt so that interactive requests get
 * slots.
 *
 * A job that is not idempotent is never chosen, since continuing it would take
 * a second attempt. Jobs that would miss their due time come last.
 *
 * @param inputs running attempts and slot counts
 * @returns ids of the jobs, in the order of preemption
 */
export function chooseVictims(inputs: VictimInputs): readonly string[] {
  const held = inputs.running.reduce((sum, {slots}) => sum + slots, 0);
  let spare = held - inputs.guaranteedSlots;
  let wanted = inputs.neededSlots;
  const victims: string[] = [];
  const candidates = inputs.running
    .filter(({idempotent}) => idempotent)
    .sort(
      (a, b) =>
        getPreemptionCost(a) - getPreemptionCost(b) ||
        b.remainingMs - a.remainingMs,
    );
  for (const {jobId, slots} of candidates) {
    if (wanted <= 0) break;
    if (slots > spare) continue;
    victims.push(jobId);
    wanted -= slots;
    spare -= slots;
  }
  return victims;
}

/**
 * Returns the relative cost of preempting a candidate; the cheapest is
 * preempted first.
 */
function getPreemptionCost(candidate: PreemptionCandidate): number {
  const {remainingMs, dueInMs, ranMs, preemptions} = candidate;
  let cost = 0;
  if (remainingMs > dueInMs) cost += 4;
  if (preemptions > 0 && ranMs < MIN_RUN_MS) cost += 2;
  if (remainingMs < ALMOST_DONE_MS) cost += 1;
  return cost;
}
