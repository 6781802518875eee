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
import {measureIdleCost} from './idle_cost';
import {RevisionWatch, createRevisionWatch} from './revision_watch';
import {createStoreReader} from './store_reader';
import {measureTakeover} from './takeover';

const FIRST_PORT = 26_000;
const ENTRIES = 7;
const SETTLE_MS = 3_000;
const OUTAGE_MS = 6_000;
const ACTIVATION_TIMEOUT_MS = 30_000;

const MAX_ACTIVATION_MS = 1_000;
const MAX_LEADERLESS_MS = 5_000;
const MAX_HANDOVER_MS = 1_000;
const MAX_STORE_CALLS_PER_SECOND = 50;
const MAX_CORE_PERCENT = 2;
const MAX_RESIDENT_MB = 256;
const MAX_BYTES_PER_SECOND = 12_288;

/**
 * Measures idle cost, configuration changes, leader takeovers and a store
 * outage with seven entry processes.
 */
export const runControlBench: Bench = async options => {
  const {seed, quick, progress} = options;
  const site = await createProcessSite({
    entries: ENTRIES,
    firstPort: FIRST_PORT,
  });
  try {
    await delay(SETTLE_MS);
    progress(`${ENTRIES} entry processes are ready and idle`);
    const idleCost = await measureIdleCost(site, quick ? 10 : 30);
    progress(`idle cost: ${JSON.stringify(idleCost)}`);
    const watch = createRevisionWatch(site.entries);
    const activationMs = await measureChanges(site, watch, quick ? 20 : 100);
    progress(
      `activation times in ms: ${JSON.stringify(summarize(activationMs))}`,
    );
    const rounds = quick ? 2 : 5;
    const leaderlessMs = await measureTakeovers(
      site,
      options,
      'SIGKILL',
      rounds,
    );
    const handoverMs = await measureTakeovers(site, options, 'SIGTERM', rounds);
    const afterOutageMs = await measureOutage(site, watch);
    progress(
      `configuration change after a store outage active after ${afterOutageMs} ms`,
    );
    await watch.dispose();
    return {
      bench: 'control',
      seed,
      measures: [
        atMost(
          'config-in-force-ms-p99',
          percentile(activationMs, 99),
          MAX_ACTIVATION_MS,
        ),
        atMost('config-reverts', watch.getReverts(), 0),
        atMost(
          'leaderless-ms-max',
          Math.max(...leaderlessMs),
          MAX_LEADERLESS_MS,
        ),
        atMost('handover-ms-max', Math.max(...handoverMs), MAX_HANDOVER_MS),
        atMost(
          'store-calls-per-second',
          idleCost.storeCallsPerSecond,
          MAX_STORE_CALLS_PER_SECOND,
        ),
        atMost('control-core-percent', idleCost.corePercent, MAX_CORE_PERCENT),
        atMost('control-rss-mb', idleCost.residentMb, MAX_RESIDENT_MB),
        atMost(
          'control-bytes-per-second',
          idleCost.bytesPerSecond,
          MAX_BYTES_PER_SECOND,
        ),
      ],
      details: {
        inForce: summarize(activationMs),
        leaderless: leaderlessMs,
        handovers: handoverMs,
        rest: idleCost,
      },
    };
  } finally {
    await site.dispose();
  }
};

async function measureTakeovers(
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
    progress(
      `${signal} to the leader of pool ${name}: takeover after ${times[i]} ms`,
    );
    await delay(SETTLE_MS);
  }
  return times;
}

/**
 * Returns the times in ms from sending a configuration change until it is
 * active on every entry host.
 */
async function measureChanges(
  site: ProcessSite,
  watch: RevisionWatch,
  changes: number,
): Promise<readonly number[]> {
  const times: number[] = [];
  for (let i = 0; i < changes; i += 1) {
    const startedAt = performance.now();
    const revision = await applyChange(site, i);
    await watch.waitFor(revision, ACTIVATION_TIMEOUT_MS);
    times.push(performance.now() - startedAt);
  }
  return times;
}

/**
 * Changes the deadline of one profile through one entry host; returns the new
 * revision.
 */
async function applyChange(site: ProcessSite, index: number): Promise<number> {
  const {operatorUrl} = site.entries[index % site.entries.length];
  const url = `${operatorUrl}/v1/configuration`;
  const current = (await callJson('GET', url)) as Configuration;
  const profiles = createProfiles(site.site).map((profile, i) =>
    i === 0 ? {...profile, deadlineMs: 1_000 + index} : profile,
  );
  const applied = (await callJson('PUT', url, {
    baseRevision: current.revision,
    operationId: randomUUID(),
    author: 'bench',
    profiles,
  })) as Configuration;
  if (applied.revision === undefined) throw new Error(JSON.stringify(applied));
  return applied.revision;
}

/**
 * Makes the store unavailable for a while; returns the time in ms until the
 * first change after the outage is active.
 */
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

function summarize(values: readonly number[]) {
  return {
    count: values.length,
    p50: percentile(values, 50),
    p99: percentile(values, 99),
    max: Math.max(...values),
  };
}
