import {
  STARTS_PER_LOW_RANK,
  RANKS,
  chooseGroup,
} from '../../decisions/requests';
import {Rank} from '../../types';
import {WaitingRequest} from './waiting_request';

/** Queue of one pool's requests at an entry host, grouped by rank and team. */
export interface RequestQueue {
  readonly size: number;
  add(waiting: WaitingRequest): void;
  /**
   * Removes and returns the request to start next, or undefined if the queue is
   * empty.
   */
  takeNext(getRunning: (team: string) => number): WaitingRequest | undefined;
  /** Removes and returns every request that matches. */
  takeAll(
    matches: (waiting: WaitingRequest) => boolean,
  ): readonly WaitingRequest[];
  /** Counts the waiting requests of a rank. */
  countRank(rank: Rank): number;
  /** Counts the waiting requests of a rank and of all higher ranks. */
  countRankAndAbove(rank: Rank): number;
  /** Counts the waiting requests of a team within a rank. */
  countTeam(rank: Rank, team: string): number;
  /** Returns a team's share, 0 to 1, of the starts of a rank. */
  getTeamShare(rank: Rank, team: string, weight: number): number;
}

/** Weight of a team without a quota. */
const DEFAULT_TEAM_WEIGHT = 0.1;

/** Returns the scheduling weight of a request's team. */
export function teamWeight({profile, request}: WaitingRequest): number {
  return profile.teamQuotas[request.team] ?? DEFAULT_TEAM_WEIGHT;
}

interface Group {
  readonly rank: Rank;
  readonly team: string;
  readonly weight: number;
  /** Requests sorted by deadline, earliest first. */
  readonly waiting: WaitingRequest[];
}

/** Creates an empty queue. */
export function createRequestQueue(): RequestQueue {
  const groups = new Map<string, Group>();
  let size = 0;
  /**
   * Starts since the last one reserved for the lowest rank, counted while
   * several ranks wait.
   */
  let startsSinceLowRank = 0;

  function findGroup(waiting: WaitingRequest): Group {
    const {rank} = waiting.profile;
    const {team} = waiting.request;
    const key = keyOf(rank, team);
    const known = groups.get(key);
    if (known) return known;
    const created = {rank, team, weight: teamWeight(waiting), waiting: []};
    groups.set(key, created);
    return created;
  }

  function countWhere(matches: (group: Group) => boolean): number {
    let count = 0;
    for (const group of groups.values()) {
      if (matches(group)) count += group.waiting.length;
    }
    return count;
  }

  function remove(group: Group, index: number): WaitingRequest {
    const [removed] = group.waiting.splice(index, 1);
    size -= 1;
    if (group.waiting.length === 0) {
      groups.delete(keyOf(group.rank, group.team));
    }
    return removed;
  }

  /**
   * Counts a start and returns whether it goes to the lowest waiting rank.
   *
   * One in STARTS_PER_LOW_RANK starts does, so that low ranks don't starve.
   */
  function takeLowRankTurn(): boolean {
    const ranks = new Set([...groups.values()].map(group => group.rank));
    if (ranks.size < 2) return false;
    startsSinceLowRank += 1;
    if (startsSinceLowRank < STARTS_PER_LOW_RANK) return false;
    startsSinceLowRank = 0;
    return true;
  }

  return {
    get size() {
      return size;
    },
    add(waiting) {
      const group = findGroup(waiting);
      group.waiting.splice(findInsertIndex(group.waiting, waiting), 0, waiting);
      size += 1;
    },
    takeNext(getRunning) {
      const known = [...groups.values()];
      const index = chooseGroup(
        known.map(({rank, team, weight, waiting}) => ({
          rank,
          team,
          weight,
          running: getRunning(team),
          deadlineAt: waiting[0].deadlineAt,
        })),
        takeLowRankTurn(),
      );
      return index < 0 ? undefined : remove(known[index], 0);
    },
    takeAll(matches) {
      const taken: WaitingRequest[] = [];
      for (const group of [...groups.values()]) {
        for (let i = group.waiting.length - 1; i >= 0; i -= 1) {
          if (matches(group.waiting[i])) taken.push(remove(group, i));
        }
      }
      return taken;
    },
    countRank: rank => countWhere(group => group.rank === rank),
    countRankAndAbove: rank =>
      countWhere(group => RANKS.indexOf(group.rank) <= RANKS.indexOf(rank)),
    countTeam: (rank, team) =>
      groups.get(keyOf(rank, team))?.waiting.length ?? 0,
    getTeamShare(rank, team, weight) {
      let sum = weight;
      for (const group of groups.values()) {
        if (group.rank === rank && group.team !== team) sum += group.weight;
      }
      return weight / sum;
    },
  };
}

function keyOf(rank: Rank, team: string): string {
  return `${rank}/${team}`;
}

function findInsertIndex(
  sorted: readonly WaitingRequest[],
  {deadlineAt}: WaitingRequest,
): number {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (sorted[middle].deadlineAt <= deadlineAt) low = middle + 1;
    else high = middle;
  }
  return low;
}
