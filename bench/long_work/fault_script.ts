import {delay} from '../../src/state';
import {Host} from '../../src/types';
import {ProcessSite} from '../shared';

/** Longer than a task's lease, in ms. */
const PAUSE_MS = 14_000;
const STEP_MS = 2_000;
const WORKER_DOWN_MS = 5_000;
const KEEP_OPEN_MS = 1_000;

/** Kills and pauses entry hosts, one after another; workers and store stay well. */
export async function disturbLeaders(site: ProcessSite): Promise<void> {
  const [first, second, third] = site.entries;
  await delay(STEP_MS);
  await first.child.end('SIGKILL');
  await delay(STEP_MS);
  second.child.process.kill('SIGSTOP');
  await first.restart();
  await delay(STEP_MS);
  await third.child.end('SIGKILL');
  await delay(PAUSE_MS - 2 * STEP_MS);
  second.child.process.kill('SIGCONT');
  await third.restart();
}

/** Causes every fault at once: entries, store and workers. */
export async function disturbEverything(site: ProcessSite): Promise<void> {
  await site.setStoreFaults({lostAnswers: 0.05, slowMs: 5});
  const workers = disturbWorkers(site);
  await disturbLeaders(site);
  await workers;
  await site.setStoreFaults({lostAnswers: 0, slowMs: 0});
}

async function disturbWorkers(site: ProcessSite): Promise<void> {
  for (let i = 0; i < 4; i += 1) {
    const crashed = site.hosts[(i * 7) % site.hosts.length];
    const silent = site.hosts[(i * 11 + 3) % site.hosts.length];
    const failing = site.hosts[(i * 5 + 1) % site.hosts.length];
    await site.setWorkerFaults(crashed, {crashed: true});
    await site.setWorkerFaults(silent, {silentConnections: true});
    await site.setWorkerFaults(failing, {failAll: true});
    await wait(site, crashed);
    await site.setWorkerFaults(crashed, {crashed: false});
    await site.setWorkerFaults(failing, {failAll: false});
  }
}

/** Waits while a worker is down; a crashed one can be reached only over an open connection. */
async function wait(site: ProcessSite, host: Host): Promise<void> {
  for (let waited = 0; waited < WORKER_DOWN_MS; waited += KEEP_OPEN_MS) {
    await delay(KEEP_OPEN_MS);
    await site.setWorkerFaults(host, {});
  }
}
