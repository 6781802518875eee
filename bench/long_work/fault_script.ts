import {delay} from '../../src/state';
import {Host} from '../../src/types';
import {ProcessSite, callJson} from '../shared';

/** Longer than a task's lease, in ms. */
const PAUSE_MS = 14_000;
const STEP_MS = 2_000;
const BAD_WORKER_MS = 4_000;
const BAD_WORKERS = 4;
const TRIES = 20;
const RETRY_MS = 500;

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
  await Promise.all([disturbWorkers(site), disturbLeaders(site)]);
  await site.setStoreFaults({lostAnswers: 0, slowMs: 0});
}

/** Lets workers crash and lose everything, go silent, and fail what they start. */
async function disturbWorkers(site: ProcessSite): Promise<void> {
  const {hosts} = site;
  for (let i = 0; i < BAD_WORKERS; i += 1) {
    const crashing = hosts[(i * 7) % hosts.length];
    const silent = hosts[(i * 11 + 3) % hosts.length];
    const failing = hosts[(i * 5 + 1) % hosts.length];
    await insist(() => crash(crashing));
    await insist(() => site.setWorkerFaults(silent, {silentConnections: true}));
    await insist(() => site.setWorkerFaults(failing, {failAll: true}));
    await delay(BAD_WORKER_MS);
    await insist(() => site.setWorkerFaults(failing, {failAll: false}));
  }
}

async function crash(host: Host): Promise<void> {
  await callJson('POST', `http://${host.address}:${host.port}/reboot`, {});
}

/** Repeats a call that a broken connection may cut. */
async function insist(call: () => Promise<unknown>): Promise<void> {
  for (let i = 0; i < TRIES; i += 1) {
    try {
      await call();
      return;
    } catch {
      await delay(RETRY_MS);
    }
  }
  throw new Error('a fault could not be caused');
}
