import {Rank} from '../../types';

/** Waiting requests of one rank and team. */
export interface WaitingGroup {
  readonly rank: Rank;
  readonly team: string;
  /** Requests of the team that run now. */
  readonly running: number;
  /** Relative share of the slots that the team gets under contention. */
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

/** Starts of which one goes to the lowest rank that waits. */
export const STARTS_PER_LOW_RANK = 10;

/**
 * Chooses which group's first request starts next.
 *
 * The highest rank goes first, but for the turns that are due to lower ranks.
 * Within a rank the team that runs least for its weight goes first, then the
 * earliest deadline.
 *
 * @param groups groups that aren't empty
 * @param lowTurn true if this start is due to a lower rank
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
    if (best < 0 || goesBefore(groups[i], groups[best])) best = i;
  }
  return best;
}

function goesBefore(a: WaitingGroup, b: WaitingGroup): boolean {
  const loadA = a.running / a.weight;
  const loadB = b.running / b.weight;
  if (loadA !== loadB) return loadA < loadB;
  return a.deadlineAt < b.deadlineAt;
}
