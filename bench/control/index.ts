import {randomUUID} from 'node:crypto';
import {createProfiles} from '../../src/stand_ins/site';
import {delay} from '../../src/state';
import {Configuration} from '../../src/types';
import {
  Bench,
  BenchOptions,
  ProcessSite,
  atMost,
  callJson,
  createProcessSite,
} from '../shared';
import {measureRest} from './rest';
import {RevisionWatch, createRevisionWatch} from './revision_watch';
import {createStoreReader} from './store_reader';
import {measureTakeover} from './takeover';

const FIRST_PORT = 26_000;
const ENTRIES = 7;
const SETTLE_MS = 3_000;
const OUTAGE_MS = 6_000;
const IN_FORCE_LIMIT_MS = 30_000;

const MAX_IN_FORCE_MS = 1_000;
const MAX_LEADERLESS_MS = 5_000;
const MAX_HANDOVER_MS = 1_000;
const MAX_STORE_CALLS = 50;
const MAX_CORE_PERCENT = 2;
const MAX_RESIDENT_MB = 256;
const MAX_BYTES = 12_288;

/** Measures membership, leadership and configuration over seven entry processes. */
export const runControlBench: Bench = async options => {
  const {seed, quick, progress} = options;
  const site = await createProcessSite({
    entries: ENTRIES,
    firstPort: FIRST_PORT,
  });
  try {
    await delay(SETTLE_MS);
    progress(`${ENTRIES} entry processes are at rest`);
    const rest = await measureRest(site, quick ? 10 : 30);
    progress(`at rest: ${JSON.stringify(rest)}`);
    const watch = createRevisionWatch(site.entries);
    const inForce = await measureChanges(site, watch, quick ? 20 : 100);
    progress(`changes: ${JSON.stringify(summary(inForce))}`);
    const rounds = quick ? 2 : 5;
    const leaderless = await measureSignal(site, options, 'SIGKILL', rounds);
    const handovers = await measureSignal(site, options, 'SIGTERM', rounds);
    const outage = await measureOutage(site, watch);
    progress(`in force ${outage} ms after a store outage`);
    await watch.dispose();
    return {
      bench: 'control',
      seed,
      measures: [
        atMost(
          'config-in-force-ms-p99',
          percentile(inForce, 99),
          MAX_IN_FORCE_MS,
        ),
        atMost('config-reverts', watch.getReverts(), 0),
        atMost('leaderless-ms-max', Math.max(...leaderless), MAX_LEADERLESS_MS),
        atMost('handover-ms-max', Math.max(...handovers), MAX_HANDOVER_MS),
        atMost(
          'store-calls-per-second',
          rest.storeCallsPerSecond,
          MAX_STORE_CALLS,
        ),
        atMost('control-core-percent', rest.corePercent, MAX_CORE_PERCENT),
        atMost('control-rss-mb', rest.residentMb, MAX_RESIDENT_MB),
        atMost('control-bytes-per-second', rest.bytesPerSecond, MAX_BYTES),
      ],
      details: {inForce: summary(inForce), leaderless, handovers, rest},
    };
  } finally {
    await site.dispose();
  }
};

async function measureSignal(
  site: ProcessSite,
  {progress}: BenchOptions,
  signal: NodeJS.Signals,
  rounds: number,
): Promise<readonly number[]> {
  const store = createStoreReader(site);
  const times: number[] = [];
  for (let i = 0; i < rounds; i += 1) {
    const {name} = site.site.pools[i % site.site.pools.length];
    times.push(await measureTakeover(site, store, name, signal));
    progress(`${signal} of the leader of ${name}: ${times[i]} ms`);
    await delay(SETTLE_MS);
  }
  return times;
}

/** Returns the times from sending a change until it is in force everywhere, in ms. */
async function measureChanges(
  site: ProcessSite,
  watch: RevisionWatch,
  changes: number,
): Promise<readonly number[]> {
  const times: number[] = [];
  for (let i = 0; i < changes; i += 1) {
    const startedAt = performance.now();
    const revision = await change(site, i);
    await watch.waitFor(revision, IN_FORCE_LIMIT_MS);
    times.push(performance.now() - startedAt);
  }
  return times;
}

/** Changes the deadline of one profile at one entry host; returns the revision. */
async function change(site: ProcessSite, index: number): Promise<number> {
  const {operatorUrl} = site.entries[index % site.entries.length];
  const url = `${operatorUrl}/v1/configuration`;
  const held = (await callJson('GET', url)) as Configuration;
  const profiles = createProfiles(site.site).map((profile, i) =>
    i === 0 ? {...profile, deadlineMs: 1_000 + index} : profile,
  );
  const applied = (await callJson('PUT', url, {
    baseRevision: held.revision,
    operationId: randomUUID(),
    author: 'bench',
    profiles,
  })) as Configuration;
  if (applied.revision === undefined) throw new Error(JSON.stringify(applied));
  return applied.revision;
}

/** Takes the store away for a while; returns the time of the first change after it, in ms. */
async function measureOutage(
  site: ProcessSite,
  watch: RevisionWatch,
): Promise<number> {
  await site.setStoreFaults({down: true});
  await delay(OUTAGE_MS);
  await site.setStoreFaults({down: false});
  await delay(SETTLE_MS);
  const [time] = await measureChanges(site, watch, 1);
  return time;
}

function percentile(values: readonly number[], percent: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil((percent / 100) * sorted.length) - 1;
  return sorted[Math.max(0, index)];
}

function summary(values: readonly number[]) {
  return {
    count: values.length,
    p50: percentile(values, 50),
    p99: percentile(values, 99),
    max: Math.max(...values),
  };
}
