import {WorkerCandidate} from './worker_candidate';

/** Inputs of the choice of a worker. */
export interface WorkerChoiceInputs {
  /** Workers with a free slot. */
  readonly candidates: readonly WorkerCandidate[];
  /** Availability zone of the entry host. */
  readonly availabilityZone: string;
  /** Racks of the workers on which earlier attempts of the request failed. */
  readonly triedRacks: readonly string[];
  /** Returns a random number from 0 to below 1. */
  readonly random: () => number;
}

/** Chooses the worker of one attempt. */
export type WorkerChoice = (
  inputs: WorkerChoiceInputs,
) => WorkerCandidate | undefined;

/**
 * Cost of a worker in another availability zone, on the scale of slot
 * utilization.
 */
const ZONE_COST = 0.05;
/** Latency relative to the pool's up to which a difference counts as noise. */
const LATENCY_NOISE = 1.5;

/**
 * Chooses the worker with the lowest cost, which depends on slot utilization,
 * recent latency and availability zone, in this order of importance.
 *
 * A retry prefers workers in racks that have not been tried.
 */
export const chooseCheapestWorker: WorkerChoice = inputs => {
  const {candidates, triedRacks, availabilityZone} = inputs;
  const elsewhere = candidates.filter(c => !triedRacks.includes(c.host.rack));
  const eligible = elsewhere.length > 0 ? elsewhere : candidates;
  let best: WorkerCandidate | undefined;
  let lowestCost = Number.POSITIVE_INFINITY;
  for (const candidate of eligible) {
    const cost = getCost(candidate, availabilityZone);
    if (cost >= lowestCost) continue;
    best = candidate;
    lowestCost = cost;
  }
  return best;
};

/**
 * Chooses the less utilized of two random workers (power of two choices), as a
 * baseline.
 */
export const chooseByTwoChoices: WorkerChoice = ({candidates, random}) => {
  const pick = () => candidates[Math.floor(random() * candidates.length)];
  const [first, second] = [pick(), pick()];
  if (!first || !second) return first;
  return getUtilization(second) < getUtilization(first) ? second : first;
};

function getCost(candidate: WorkerCandidate, availabilityZone: string): number {
  const {relativeLatency, host} = candidate;
  const latencyFactor = relativeLatency > LATENCY_NOISE ? relativeLatency : 1;
  const zoneCost = host.availabilityZone === availabilityZone ? 0 : ZONE_COST;
  return (
    getUtilization(candidate) * latencyFactor + (latencyFactor - 1) + zoneCost
  );
}

function getUtilization({used, slots}: WorkerCandidate): number {
  return used / slots;
}
