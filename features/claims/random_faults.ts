import fc from 'fast-check';
import {RequestHistory} from '../../src/history/requests';
import {
  MemorySite,
  configureSite,
  createMemorySite,
} from '../support/memory_site';
import {advance, seedRandom, settle} from '../support/paused_clock';
import {createHistoryRecorder} from './request_history';

const ENTRIES = 4;
const KEYS = 12;
const STEPS = 60;
const STEP_MS = 150;
const RECOVERY_MS = 12_000;

enum Fault {
  None = 'none',
  Crash = 'crash',
  /**
   * Cuts an entry host off from the store and all members, like a paused
   * process.
   */
  Pause = 'pause',
  BlockPeers = 'block-peers',
  LoseAnswers = 'lose-answers',
  StoreDown = 'store-down',
  StoreSlow = 'store-slow',
  StoreSilent = 'store-silent',
  WorkersLeave = 'workers-leave',
  Heal = 'heal',
}

interface Step {
  readonly entry: number;
  readonly key: number;
  readonly fault: Fault;
  readonly target: number;
}

const steps = fc.array(
  fc.record<Step>({
    entry: fc.nat(ENTRIES - 1),
    key: fc.nat(KEYS - 1),
    fault: fc.oneof(
      {weight: 6, arbitrary: fc.constant(Fault.None)},
      {weight: 2, arbitrary: fc.constant(Fault.Heal)},
      {weight: 3, arbitrary: fc.constantFrom(...Object.values(Fault))},
    ),
    target: fc.nat(ENTRIES - 1),
  }),
  {minLength: STEPS, maxLength: STEPS},
);

/**
 * Sends keyed requests to a site while random faults are injected into its
 * entry hosts.
 *
 * @param seed seed of the random faults and requests
 * @returns the requests sent, the runs of the workers and the answers
 */
export async function runWithRandomFaults(
  seed: number,
): Promise<RequestHistory> {
  seedRandom(seed);
  const site = createMemorySite({entries: ENTRIES});
  await configureSite(site);
  const recorder = createHistoryRecorder(site);
  const crashed = new Set<number>();
  const [plan] = fc.sample(steps, {seed, numRuns: 1});
  for (const step of plan) {
    injectFault(site, step, crashed);
    if (!crashed.has(step.entry)) {
      const content = `content-${step.key}`;
      const idempotencyKey = `key-${step.key}`;
      const {entry} = step;
      const sent = {entry, idempotencyKey, content, workMs: 40};
      recorder.send(sent).catch((error: Error) => {
        // Requests to an entry host that has crashed may be rejected.
        if (!crashed.has(entry)) throw error;
      });
    }
    await advance(STEP_MS);
  }
  for (let entry = 0; entry < ENTRIES; entry += 1) heal(site, entry);
  await advance(RECOVERY_MS);
  const runningEntry = [0, 1, 2, 3].find(entry => !crashed.has(entry));
  for (let key = 0; key < KEYS && runningEntry !== undefined; key += 1) {
    const content = `content-${key}`;
    const idempotencyKey = `key-${key}`;
    await settle(recorder.send({entry: runningEntry, idempotencyKey, content}));
  }
  const history = recorder.getHistory();
  site.dispose();
  return history;
}

function injectFault(
  site: MemorySite,
  {fault, target}: Step,
  crashed: Set<number>,
): void {
  const {storeFaults} = site.entries[target];
  switch (fault) {
    case Fault.None:
      return;
    case Fault.Crash:
      if (crashed.size >= ENTRIES / 2) return;
      crashed.add(target);
      return site.entries[target].crash();
    case Fault.Pause:
      storeFaults.silent = true;
      return blockPeers(site, target, true);
    case Fault.BlockPeers:
      return blockPeers(site, target, true);
    case Fault.LoseAnswers:
      storeFaults.lostAnswers = 0.5;
      return;
    case Fault.StoreDown:
      storeFaults.down = true;
      return;
    case Fault.StoreSlow:
      storeFaults.slowMs = 300;
      return;
    case Fault.StoreSilent:
      storeFaults.silent = true;
      return;
    case Fault.WorkersLeave:
      return setWorkersLeaving(site, true);
    case Fault.Heal:
      setWorkersLeaving(site, false);
      if (!crashed.has(target)) heal(site, target);
  }
}

function heal(site: MemorySite, entry: number): void {
  const {storeFaults} = site.entries[entry];
  const noFaults = {down: false, slowMs: 0, lostAnswers: 0, silent: false};
  Object.assign(storeFaults, noFaults);
  blockPeers(site, entry, false);
  setWorkersLeaving(site, false);
}

function setWorkersLeaving(site: MemorySite, leaving: boolean): void {
  for (const worker of site.workers.values()) worker.setLeaving(leaving);
}

function blockPeers(site: MemorySite, entry: number, blocked: boolean): void {
  const {member} = site.entries[entry];
  for (const {member: other} of site.entries) {
    if (other.id === member.id) continue;
    site.network.setBlocked(member.id, other.id, blocked);
    site.network.setBlocked(other.id, member.id, blocked);
  }
}
