import {request} from 'undici';
import {delay} from '../../src/state';
import {Job, JobState, Wave, WaveState} from '../../src/types';
import {
  Bench,
  EntryProcess,
  Measure,
  ProcessSite,
  atLeast,
  atMost,
  createProcessSite,
} from '../shared';
import {runCommand} from './command';

const FIRST_PORT = 21_000;
const ENTRIES = 7;
const PROFILES_PATH = 'examples/orbitica.yaml';
const REBOOT_MS = 500;
const POLL_MS = 200;
const TIMEOUT_MS = 60_000;

/**
 * Measures requests, profiles, jobs, maintenance waves and planned stops over
 * seven entry processes, operated through the command line.
 */
export const runPathBench: Bench = async ({seed, progress}) => {
  const site = await createProcessSite({
    entries: ENTRIES,
    firstPort: FIRST_PORT,
    rebootMs: REBOOT_MS,
  });
  progress(`${ENTRIES} entry processes are ready`);
  const measures: Measure[] = [
    await measureRequests(site),
    await measureProfiles(site),
    await measureJob(site),
    await measureWave(site),
    await measureStops(site),
  ];
  await site.dispose();
  return {bench: 'path', seed, measures};
};

async function measureRequests(site: ProcessSite): Promise<Measure> {
  let responding = 0;
  for (const entry of site.entries) {
    const url = `${entry.callerUrl}/services/sky-lookup/bench`;
    const response = await request(url);
    const body = (await response.body.json()) as {requestId?: string};
    const id = response.headers['sesamefront-request-id'];
    if (response.statusCode === 200 && body.requestId === id) responding += 1;
  }
  return atLeast('entry-hosts-that-answer', responding, ENTRIES);
}

async function measureProfiles(site: ProcessSite): Promise<Measure> {
  const applied = await runCommand([
    ...['profile', 'apply', PROFILES_PATH, '--wait'],
    ...['--url', site.entries[1].operatorUrl],
  ]);
  let activeCount = 0;
  for (const {operatorUrl} of site.entries) {
    const read = await runCommand(['profile', 'get', '--url', operatorUrl]);
    const {revision} = read.value as {revision: number};
    if (applied.exitCode === 0 && revision === 2) activeCount += 1;
  }
  return atLeast('entry-hosts-with-the-revision', activeCount, ENTRIES);
}

async function measureJob(site: ProcessSite): Promise<Measure> {
  const submitted = await runCommand([
    ...['job', 'submit', 'sky-lookup', '--input', 'work-ms=500'],
    ...['--caller-url', site.entries[2].callerUrl],
  ]);
  const {id} = submitted.value as Job;
  const done = await waitUntil(async () => {
    const shown = await runCommand([
      ...['job', 'show', 'sky-lookup', id],
      ...['--caller-url', site.entries[6].callerUrl],
    ]);
    return (shown.value as Job).state === JobState.Done;
  });
  return atLeast('jobs-done', Number(done), 1);
}

async function measureWave(site: ProcessSite): Promise<Measure> {
  const declared = await runCommand([
    ...['maintenance', 'declare', 'pool', 'ops-console', '--reason', 'bench'],
    ...['--url', site.entries[3].operatorUrl],
  ]);
  const {id} = declared.value as Wave;
  const done = await waitUntil(async () => {
    const shown = await runCommand([
      ...['maintenance', 'list', '--url', site.entries[4].operatorUrl],
    ]);
    const waves = shown.value as readonly Wave[];
    return waves.some(wave => wave.id === id && wave.state === WaveState.Done);
  });
  return atLeast('waves-done', Number(done), 1);
}

async function measureStops(site: ProcessSite): Promise<Measure> {
  const codes = await Promise.all(
    site.entries.map((entry: EntryProcess) => entry.child.end('SIGTERM')),
  );
  const failed = codes.filter(code => code !== 0).length;
  return atMost('stops-with-another-exit-code', failed, 0);
}

async function waitUntil(isDone: () => Promise<boolean>): Promise<boolean> {
  const endsAt = performance.now() + TIMEOUT_MS;
  while (performance.now() < endsAt) {
    if (await isDone()) return true;
    await delay(POLL_MS);
  }
  return false;
}
