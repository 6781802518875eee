import {advance, pauseClock, resumeClock} from '../../features/support/clock';
import {recordFleetHistory} from '../../features/support/fleet_history';
import {
  MemorySite,
  configureSite,
  createMemorySite,
} from '../../features/support/memory_site';
import {
  HistoryEvent,
  HistoryEventKind,
  checkFleetHistory,
} from '../../src/history/fleet';
import {Requests} from '../../src/actors/requests';
import {HostAssignment} from '../../src/types';

/** Moves of hosts between pools during failures or bursts. */
export interface MovesReport {
  readonly site: string;
  readonly hours: number;
  readonly moves: number;
  /** Maximum over the pools of moves into or out of the pool, per day. */
  readonly perPoolDay: number;
  readonly historyFindings: number;
}

const HOUR_MS = 3_600_000;
const DAY_HOURS = 24;
const STEP_MS = 60_000;
const BURST_MS = 8_000;
const REQUESTS_PER_BURST = 200;
const REQUEST_WORK_MS = 500;

/**
 * Sends bursts of requests to one pool after another and counts moves of hosts.
 */
export function countMovesInBursts(
  siteName: string,
  seed: number,
  hours: number,
): Promise<MovesReport> {
  return recordMoves(siteName, seed, hours, async (site, elapsedMs) => {
    const pools = site.site.pools;
    const {name} = pools[Math.floor(elapsedMs / BURST_MS) % pools.length];
    for (let i = 0; i < REQUESTS_PER_BURST; i += 1) {
      const {core} = site.entries[i % site.entries.length];
      void sendRequest(core.requests, name, `burst-${elapsedMs}-${i}`);
    }
    await advance(BURST_MS);
    return BURST_MS;
  });
}

async function sendRequest(
  requests: Requests,
  service: string,
  id: string,
): Promise<void> {
  try {
    const answer = await requests.run({
      id,
      service,
      team: '',
      method: 'GET',
      path: '/',
      headers: {'work-ms': String(REQUEST_WORK_MS)},
      body: Buffer.alloc(0),
    });
    if (answer.isOk) answer.value.body.resume();
  } catch {
    return;
  }
}

/**
 * Crashes one host of each pool, one pool per hour, and counts moves of hosts.
 */
export function countMovesInFailures(
  siteName: string,
  seed: number,
  hours: number,
): Promise<MovesReport> {
  let crashedCount = 0;
  return recordMoves(siteName, seed, hours, async (site, elapsedMs) => {
    const pool = site.site.pools[crashedCount];
    if (pool && elapsedMs >= crashedCount * HOUR_MS) {
      const hostId = `${pool.name}-1`;
      const worker = site.workers.get(hostId);
      if (worker) worker.faults.crashed = true;
      crashedCount += 1;
    }
    await advance(STEP_MS);
    return STEP_MS;
  });
}

async function recordMoves(
  siteName: string,
  seed: number,
  hours: number,
  runStep: (site: MemorySite, passedMs: number) => Promise<number>,
): Promise<MovesReport> {
  pauseClock(seed);
  const site = createMemorySite({entries: 2, siteName});
  try {
    const events = recordFleetHistory(site.keyValue, site.workers.values());
    await configureSite(site);
    const limitMs = hours * HOUR_MS;
    for (let elapsedMs = 0; elapsedMs < limitMs;)
      elapsedMs += await runStep(site, elapsedMs);
    return {site: siteName, hours, ...countMoves(events, hours)};
  } finally {
    site.dispose();
    resumeClock();
  }
}

function countMoves(events: readonly HistoryEvent[], hours: number) {
  const pools = new Map<string, string>();
  const perPool = new Map<string, number>();
  let moves = 0;
  for (const event of events) {
    if (event.kind !== HistoryEventKind.Write || !event.value) continue;
    if (!event.key.startsWith('hosts/')) continue;
    const {hostId, pool} = JSON.parse(event.value) as HostAssignment;
    const before = pools.get(hostId);
    pools.set(hostId, pool);
    if (before === undefined || before === pool) continue;
    moves += 1;
    for (const name of [before, pool]) {
      perPool.set(name, (perPool.get(name) ?? 0) + 1);
    }
  }
  const maxMoves = Math.max(0, ...perPool.values());
  const days = Math.max(1, hours / DAY_HOURS);
  const historyFindings = checkFleetHistory(events).length;
  return {moves, perPoolDay: maxMoves / days, historyFindings};
}
