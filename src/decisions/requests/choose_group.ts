import {Rank} from '../../types';

/** Waiting requests of one rank and team. */
export interface WaitingGroup {
  readonly rank: Rank;
  readonly team: string;
  /** Number of running requests of the team. */
  readonly running: number;
  /** Relative weight of the team when slots are shared under contention. */
  readonly weight: number;
  /** Monotonic time by which the group's first request is due, in ms. */
  readonly deadlineAt: number;
}

/** Ranks from the highest to the lowest. */
export const RANKS: readonly Rank[] = [
  Rank.Urgent,
  Rank.High,
  Rank.Normal,
  Rank.Low,
];

/** Number of starts of which one is reserved for the lowest waiting rank. */
export const STARTS_PER_LOW_RANK = 10;

/**
 * Chooses the group whose first request starts next.
 *
 * The highest rank goes first, except for starts reserved for the lowest rank.
 * Within a rank, the team with the fewest running requests relative to its
 * weight goes first, then the earliest deadline.
 *
 * @param groups groups that are not empty
 * @param lowTurn whether this start is reserved for the lowest waiting rank
 * @returns index of the group, or -1 if there is none
 */
export function chooseGroup(
  groups: readonly WaitingGroup[],
  lowTurn: boolean,
): number {
  const ranks = RANKS.filter(rank => groups.some(g => g.rank === rank));
  const rank = lowTurn ? ranks.at(-1) : ranks[0];
  let best = -1;
  for (let i = 0; i < groups.length; i += 1) {
    if (groups[i].rank !== rank) continue;
    if (best < 0 || precedes(groups[i], groups[best])) best = i;
  }
  return best;
}

function precedes(a: WaitingGroup, b: WaitingGroup): boolean {
  const loadA = a.running / a.weight;
  const loadB = b.running / b.weight;
  if (loadA !== loadB) return loadA < loadB;
  return a.deadlineAt < b.deadlineAt;
}
