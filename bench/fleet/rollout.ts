import {
  MemorySite,
  configureSite,
  createMemorySite,
} from '../../features/support/memory_site';
import {
  advance,
  advanceUntil,
  pauseClock,
  resumeClock,
  settle,
} from '../../features/support/clock';
import {recordFleetHistory} from '../../features/support/fleet_history';
import {findLowerBound} from '../../src/decisions/fleet';
import {
  HistoryEvent,
  HistoryEventKind,
  checkFleetHistory,
} from '../../src/history/fleet';
import {createProfiles, findSite} from '../../src/stand_ins/site';
import {PoolRecord, Selector, SelectorKind, WaveState} from '../../src/types';

/** Order in which maintenance is rolled out to a whole site. */
export enum RolloutPlan {
  /** One wave over all hosts; the budgets limit concurrent drains. */
  Budget = 'budget',
  /** One wave per host, one host of each pool at a time; pools in parallel. */
  OneAtATime = 'one-at-a-time',
  /** One wave per availability zone, one after another. */
  ZoneAtATime = 'zone-at-a-time',
}

/** Duration and cost of one roll-out. */
export interface Rollout {
  readonly site: string;
  readonly plan: RolloutPlan;
  readonly rolloutMs: number;
  readonly lowerBoundMs: number;
  /** Ratio of the duration to its lower bound. */
  readonly overLowerBound: number;
  readonly historyFindings: number;
  /**
   * Store writes to pool, host and wave records during the roll-out, per host.
   */
  readonly storeWritesPerHost: number;
}

/** Options of a roll-out. */
export interface RolloutOptions {
  readonly siteName: string;
  readonly plan: RolloutPlan;
  readonly seed: number;
  readonly entries: number;
  readonly rebootMs: number;
}

const IDLE_MS = 3_000;
const STEP_MS = 250;
const TIMEOUT_MS = 7_200_000;

/** Rolls maintenance out to an in-memory site on the paused clock. */
export async function runRollout(options: RolloutOptions): Promise<Rollout> {
  pauseClock(options.seed);
  const {siteName, entries, rebootMs} = options;
  const site = createMemorySite({entries, siteName, rebootMs});
  try {
    const events = recordFleetHistory(site.keyValue, site.workers.values());
    await configureSite(site);
    await advance(IDLE_MS);
    return await measure(site, events, options);
  } finally {
    site.dispose();
    resumeClock();
  }
}

async function measure(
  site: MemorySite,
  events: readonly HistoryEvent[],
  {siteName, plan, rebootMs}: RolloutOptions,
): Promise<Rollout> {
  const writesBefore = countFleetWrites(events);
  const startedAt = Date.now();
  for (const selectors of listSelectorSteps(site, plan)) {
    const ids = await Promise.all(selectors.map(s => declareWave(site, s)));
    await advanceUntil(() => isDone(site, ids), TIMEOUT_MS, STEP_MS);
  }
  const rolloutMs = findLastReturn(events) - startedAt;
  const lowerBoundMs = Math.max(
    ...createProfiles(findSite(siteName)).map(profile =>
      findLowerBound(profile.hosts, profile.maxUnavailable, rebootMs),
    ),
  );
  const writes = countFleetWrites(events) - writesBefore;
  return {
    site: siteName,
    plan,
    rolloutMs,
    lowerBoundMs,
    overLowerBound: rolloutMs / lowerBoundMs,
    historyFindings: checkFleetHistory(events).length,
    storeWritesPerHost: writes / site.workers.size,
  };
}

/**
 * Lists the steps of a plan, each with the selectors of waves declared
 * together.
 */
function listSelectorSteps(
  {site, hosts}: MemorySite,
  plan: RolloutPlan,
): readonly (readonly Selector[])[] {
  switch (plan) {
    case RolloutPlan.Budget:
      return [[{kind: SelectorKind.All, name: ''}]];
    case RolloutPlan.ZoneAtATime:
      return site.availabilityZones.map(name => [
        {kind: SelectorKind.AvailabilityZone, name},
      ]);
    case RolloutPlan.OneAtATime: {
      const byPool = site.pools.map(({name}) =>
        [...hosts.values()].filter(host => host.initialPool === name),
      );
      const steps = Math.max(...byPool.map(pool => pool.length));
      return Array.from({length: steps}, (_, i) =>
        byPool.flatMap(pool =>
          pool
            .slice(i, i + 1)
            .map(host => ({kind: SelectorKind.Host, name: host.id})),
        ),
      );
    }
  }
}

async function declareWave(
  site: MemorySite,
  selector: Selector,
): Promise<string> {
  const declared = await settle(
    site.entries[0].core.waves.declare({
      selector,
      reason: 'bench',
      urgent: false,
      dueAt: Date.now() + TIMEOUT_MS,
    }),
  );
  if (declared.isErr) throw new Error(declared.error);
  return declared.value.id;
}

function isDone(site: MemorySite, ids: readonly string[]): boolean {
  const waves = site.entries[0].core.waves.list();
  return ids.every(
    id => waves.find(wave => wave.id === id)?.state === WaveState.Done,
  );
}

function countFleetWrites(events: readonly HistoryEvent[]): number {
  return events.filter(
    event =>
      event.kind === HistoryEventKind.Write &&
      /^(pools|hosts|waves)\//.test(event.key),
  ).length;
}

/**
 * Returns the last time at which a pool had no unavailable host left, in ms.
 */
function findLastReturn(events: readonly HistoryEvent[]): number {
  let last = 0;
  for (const event of events) {
    if (event.kind !== HistoryEventKind.Write || !event.value) continue;
    if (!event.key.startsWith('pools/')) continue;
    const {unavailable} = JSON.parse(event.value) as PoolRecord;
    if (unavailable.length === 0) last = Math.max(last, event.at);
  }
  return last;
}
