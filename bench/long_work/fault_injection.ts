import {delay} from '../../src/state';
import {Host} from '../../src/types';
import {ProcessSite, callJson} from '../shared';

/** Pause of an entry host in ms; longer than a task's lease. */
const PAUSE_MS = 14_000;
const STEP_MS = 2_000;
const WORKER_FAULT_MS = 4_000;
const WORKER_FAULT_ROUNDS = 4;
const MAX_ATTEMPTS = 20;
const RETRY_DELAY_MS = 500;

/**
 * Kills an entry host, pauses a second and kills a third, one after another.
 * Workers and store run without faults.
 */
export async function injectLeaderFaults(site: ProcessSite): Promise<void> {
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

/** Injects faults into entry hosts, store and workers at the same time. */
export async function injectAllFaults(site: ProcessSite): Promise<void> {
  await site.setStoreFaults({lostAnswers: 0.05, slowMs: 5});
  await Promise.all([injectWorkerFaults(site), injectLeaderFaults(site)]);
  await site.setStoreFaults({lostAnswers: 0, slowMs: 0});
}

/**
 * Reboots workers, which ends their tasks, silences the open connections of
 * others and makes others fail every task that they start.
 */
async function injectWorkerFaults(site: ProcessSite): Promise<void> {
  const {hosts} = site;
  for (let i = 0; i < WORKER_FAULT_ROUNDS; i += 1) {
    const crashing = hosts[(i * 7) % hosts.length];
    const silent = hosts[(i * 11 + 3) % hosts.length];
    const failing = hosts[(i * 5 + 1) % hosts.length];
    await retry(() => rebootHost(crashing));
    await retry(() => site.setWorkerFaults(silent, {silentConnections: true}));
    await retry(() => site.setWorkerFaults(failing, {failAll: true}));
    await delay(WORKER_FAULT_MS);
    await retry(() => site.setWorkerFaults(failing, {failAll: false}));
  }
}

async function rebootHost(host: Host): Promise<void> {
  await callJson('POST', `http://${host.address}:${host.port}/reboot`, {});
}

/**
 * Repeats a call until it succeeds, as a connection may break during faults.
 */
async function retry(call: () => Promise<unknown>): Promise<void> {
  for (let i = 0; i < MAX_ATTEMPTS; i += 1) {
    try {
      await call();
      return;
    } catch {
      await delay(RETRY_DELAY_MS);
    }
  }
  throw new Error('no attempt to inject the fault succeeded');
}
