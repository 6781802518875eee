import {WorkerCandidate} from './worker_candidate';

/** What a choice of a worker rests on. */
export interface WorkerChoiceInputs {
  /** Workers with a free slot. */
  readonly candidates: readonly WorkerCandidate[];
  readonly availabilityZone: string;
  /** Racks that failed the request before. */
  readonly triedRacks: readonly string[];
  /** Source of numbers from 0 to below 1. */
  readonly random: () => number;
}

/** Chooses the worker of one attempt. */
export type WorkerChoice = (
  inputs: WorkerChoiceInputs,
) => WorkerCandidate | undefined;

/** Cost of a worker in another availability zone, as a share of its slots. */
const ZONE_COST = 0.05;
/** Latency over the pool's that is taken for noise. */
const LATENCY_NOISE = 1.5;

/**
 * Chooses the cheapest worker: few slots used, quick of late and in the same availability zone, in this order.
 *
 * On a retry a worker in another rack goes first.
 */
export const chooseCheapestWorker: WorkerChoice = inputs => {
  const {candidates, triedRacks, availabilityZone} = inputs;
  const elsewhere = candidates.filter(c => !triedRacks.includes(c.host.rack));
  const eligible = elsewhere.length > 0 ? elsewhere : candidates;
  let best: WorkerCandidate | undefined;
  let least = Number.POSITIVE_INFINITY;
  for (const candidate of eligible) {
    const cost = costOf(candidate, availabilityZone);
    if (cost >= least) continue;
    best = candidate;
    least = cost;
  }
  return best;
};

/** Chooses the less used of two random workers, the classic baseline. */
export const chooseOfTwoWorkers: WorkerChoice = ({candidates, random}) => {
  const pick = () => candidates[Math.floor(random() * candidates.length)];
  const [first, second] = [pick(), pick()];
  if (!first || !second) return first;
  return loadOf(second) < loadOf(first) ? second : first;
};

function costOf(candidate: WorkerCandidate, availabilityZone: string): number {
  const {relativeLatency, host} = candidate;
  const slow = relativeLatency > LATENCY_NOISE ? relativeLatency : 1;
  const away = host.availabilityZone === availabilityZone ? 0 : ZONE_COST;
  return loadOf(candidate) * slow + (slow - 1) + away;
}

function loadOf({used, slots}: WorkerCandidate): number {
  return used / slots;
}
