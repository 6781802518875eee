/** A running attempt that may have to make room. */
export interface Candidate {
  readonly jobId: string;
  readonly slots: number;
  readonly idempotent: boolean;
  /** Expected time to its end, in ms. */
  readonly remainingMs: number;
  /** Time from now to its due time, in ms. */
  readonly dueInMs: number;
  /** Time for which the current attempt has run, in ms. */
  readonly ranMs: number;
  /** Times that it has made room before. */
  readonly preemptions: number;
}

/** What the choice of victims rests on. */
export interface VictimInputs {
  readonly running: readonly Candidate[];
  /** Slots that interactive work lacks. */
  readonly wanted: number;
  /** Slots that long work keeps under contention. */
  readonly kept: number;
}

/** Time that a preempted job runs before it makes room again, if others can. */
const PROTECTED_MS = 3_000;
/** A job that ends sooner is left to end, if others can make room. */
const ALMOST_DONE_MS = 500;

/**
 * Chooses the jobs that are checkpointed so that interactive work gets slots.
 *
 * A job that may run only once is never chosen, since a checkpoint would need a
 * second attempt. Those that would miss their due time come last.
 *
 * @param inputs running attempts and what is wanted
 * @returns ids of the jobs, in the order in which they make room
 */
export function chooseVictims(inputs: VictimInputs): readonly string[] {
  const held = inputs.running.reduce((sum, {slots}) => sum + slots, 0);
  let spare = held - inputs.kept;
  let wanted = inputs.wanted;
  const victims: string[] = [];
  const candidates = inputs.running
    .filter(({idempotent}) => idempotent)
    .sort((a, b) => costOf(a) - costOf(b) || b.remainingMs - a.remainingMs);
  for (const {jobId, slots} of candidates) {
    if (wanted <= 0) break;
    if (slots > spare) continue;
    victims.push(jobId);
    wanted -= slots;
    spare -= slots;
  }
  return victims;
}

/** Ranks a candidate by what its preemption costs, least first. */
function costOf(candidate: Candidate): number {
  const {remainingMs, dueInMs, ranMs, preemptions} = candidate;
  let cost = 0;
  if (remainingMs > dueInMs) cost += 4;
  if (preemptions > 0 && ranMs < PROTECTED_MS) cost += 2;
  if (remainingMs < ALMOST_DONE_MS) cost += 1;
  return cost;
}
