import {getRequiredCapacity} from './host_room';
import {compareUrgency} from './order_workflows';
import {NO_CAPACITY, sumCapacities} from './organisation_usage';
import {PlacementCandidate, PlacementPass} from './placement_pass';
import {TaskPhase} from './task_record';
import {WeightedShares, createWeightedShares} from './weighted_shares';

/** Order in which the candidates of a pass are placed. */
export interface CandidateOrder {
  /** Returns the next candidate; undefined after the last. */
  next(): PlacementCandidate | undefined;
}

/** Candidates of one class, the most urgent of each organisation first. */
type Queues = Map<string, PlacementCandidate[]>;

/**
 * Creates the order of a pass.
 *
 * Work without an organisation and long-running work come first, the most
 * urgent first. Work of organisations follows by class: what is owed before
 * what was submitted beyond the organisation's rate, and work that can still
 * have value before work that cannot. Within a class organisations that use
 * less than their share come first, by urgency, and the others by what they
 * use.
 */
export function createCandidateOrder(pass: PlacementPass): CandidateOrder {
  const {candidates, organisations} = pass;
  const sorted = [...candidates].sort((a, b) =>
    compareUrgency(a.urgency, b.urgency),
  );
  if (organisations.size === 0) return createFixedOrder(sorted);
  const first = sorted.filter(candidate => !hasShare(candidate));
  const shared = sorted.filter(hasShare);
  if (shared.length === 0) return createFixedOrder(first);
  const fixed = createFixedOrder(first);
  const shares = createShares(pass, shared);
  const classes = groupByClass(shared);

  return {
    next() {
      const candidate = fixed.next();
      if (candidate) return candidate;
      while (classes.length > 0) {
        const chosen = takeNext(classes[0], shares);
        if (chosen) return chosen;
        classes.shift();
      }
      return undefined;
    },
  };
}

function createFixedOrder(
  sorted: readonly PlacementCandidate[],
): CandidateOrder {
  let position = 0;
  return {
    next() {
      position += 1;
      return sorted[position - 1];
    },
  };
}

/** Returns whether a candidate competes for the share of its organisation. */
function hasShare({record, urgency}: PlacementCandidate): boolean {
  return record.workflow.organisation !== undefined && urgency.rank > 0;
}

function getOrganisation({record}: PlacementCandidate): string {
  return record.workflow.organisation ?? '';
}

/** Returns the class of a candidate; 0 comes first. */
function getClass({record, urgency}: PlacementCandidate): number {
  const isWorthless = urgency.rank >= 3;
  return (isWorthless ? 4 : urgency.rank) + (record.isExtra ? 2 : 0);
}

function groupByClass(sorted: readonly PlacementCandidate[]): Queues[] {
  const classes: Queues[] = [];
  for (const candidate of sorted) {
    const queues = (classes[getClass(candidate)] ??= new Map());
    const queue = queues.get(getOrganisation(candidate));
    if (queue) queue.push(candidate);
    else queues.set(getOrganisation(candidate), [candidate]);
  }
  for (const queues of classes) {
    // The next candidate of each organisation is at the end.
    if (queues) for (const queue of queues.values()) queue.reverse();
  }
  return classes.filter(queues => queues !== undefined);
}

function createShares(
  {pool, rooms, organisations, usage}: PlacementPass,
  shared: readonly PlacementCandidate[],
): WeightedShares {
  const names = new Set(shared.map(getOrganisation));
  for (const name of organisations.keys()) {
    if (usage.getInPool(pool, name) !== NO_CAPACITY) names.add(name);
  }
  const capacity = sumCapacities(rooms.map(({host}) => host));
  const holders = [...names].map(name => ({
    name,
    weight: organisations.get(name)?.weight ?? 0,
    used: usage.getInPool(pool, name),
  }));
  return createWeightedShares(holders, capacity);
}

/** Removes and returns the next candidate of a class. */
function takeNext(
  queues: Queues,
  shares: WeightedShares,
): PlacementCandidate | undefined {
  let best: PlacementCandidate | undefined;
  let bestLevel = Infinity;
  for (const [name, queue] of queues) {
    const head = queue[queue.length - 1];
    // Below its share, only urgency counts.
    const level = Math.max(1, shares.getLevel(name));
    if (best && level > bestLevel) continue;
    if (
      best &&
      level === bestLevel &&
      compareUrgency(best.urgency, head.urgency) <= 0
    ) {
      continue;
    }
    best = head;
    bestLevel = level;
  }
  if (!best) return undefined;
  const name = getOrganisation(best);
  const queue = queues.get(name);
  queue?.pop();
  if (queue?.length === 0) queues.delete(name);
  for (const group of best.groups) {
    const waiting = group.filter(({phase}) => phase === TaskPhase.Waiting);
    shares.take(name, getRequiredCapacity(group[0].step), waiting.length);
  }
  return best;
}
