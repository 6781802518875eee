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

/** Candidates of one organisation in one class. */
interface Line {
  readonly name: string;
  /** The most urgent first. */
  readonly candidates: PlacementCandidate[];
  /** Index of the first candidate that was not taken. */
  next: number;
  /** Level of the organisation; 1 below its share, where only urgency counts. */
  level: number;
}

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
  updateLevels(classes[0], shares);

  return {
    next() {
      const candidate = fixed.next();
      if (candidate) return candidate;
      while (classes.length > 0) {
        const chosen = takeNext(classes[0], shares);
        if (chosen) return chosen;
        classes.shift();
        updateLevels(classes[0], shares);
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

function groupByClass(sorted: readonly PlacementCandidate[]): Line[][] {
  const classes: Map<string, Line>[] = [];
  for (const candidate of sorted) {
    const lines = (classes[getClass(candidate)] ??= new Map<string, Line>());
    const name = getOrganisation(candidate);
    const line = lines.get(name);
    if (line) line.candidates.push(candidate);
    else lines.set(name, {name, candidates: [candidate], next: 0, level: 1});
  }
  return classes
    .filter(lines => lines !== undefined)
    .map(lines => [...lines.values()]);
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

/** Returns the next candidate of a class; undefined after the last. */
function takeNext(
  lines: readonly Line[],
  shares: WeightedShares,
): PlacementCandidate | undefined {
  let best: Line | undefined;
  for (const line of lines) {
    if (line.next >= line.candidates.length) continue;
    if (best && line.level > best.level) continue;
    if (best && line.level === best.level && !isBefore(line, best)) continue;
    best = line;
  }
  if (!best) return undefined;
  const candidate = best.candidates[best.next];
  best.next += 1;
  for (const group of candidate.groups) {
    let waiting = 0;
    for (const {phase} of group) if (phase === TaskPhase.Waiting) waiting += 1;
    shares.take(best.name, getRequiredCapacity(group[0].step), waiting);
  }
  updateLevel(best, shares);
  return candidate;
}

/** Sets the levels of a class that begins; undefined after the last class. */
function updateLevels(
  lines: readonly Line[] | undefined,
  shares: WeightedShares,
): void {
  for (const line of lines ?? []) updateLevel(line, shares);
}

function updateLevel(line: Line, shares: WeightedShares): void {
  line.level = Math.max(1, shares.getLevel(line.name));
}

function isBefore(line: Line, other: Line): boolean {
  const {urgency} = line.candidates[line.next];
  return compareUrgency(urgency, other.candidates[other.next].urgency) < 0;
}
