import fc from 'fast-check';
import {createProfiles} from '../../src/stand_ins/site';
import {
  MemoryEntryHost,
  MemorySite,
  configureSite,
  createMemorySite,
} from '../support/memory_site';
import {advance, seedRandom} from '../support/paused_clock';
import {ControlRecorder, createControlRecorder} from './control_recorder';

const ENTRIES = 4;
const STEPS = 50;
const STEP_MS = 300;
const RECOVERY_MS = 20_000;

enum Fault {
  None = 'none',
  Crash = 'crash',
  Restart = 'restart',
  Pause = 'pause',
  BlockOneWay = 'block-one-way',
  LoseAnswers = 'lose-answers',
  StoreDown = 'store-down',
  StoreDownForAll = 'store-down-for-all',
  StoreSlow = 'store-slow',
  Heal = 'heal',
}

interface Step {
  readonly fault: Fault;
  readonly target: number;
  /**
   * Indexes of the entry hosts at which operators change the profiles
   * concurrently.
   */
  readonly operators: readonly number[];
}

const steps = fc.array(
  fc.record<Step>({
    fault: fc.oneof(
      {weight: 5, arbitrary: fc.constant(Fault.None)},
      {weight: 3, arbitrary: fc.constant(Fault.Heal)},
      {weight: 4, arbitrary: fc.constantFrom(...Object.values(Fault))},
    ),
    target: fc.nat(ENTRIES - 1),
    operators: fc.array(fc.nat(ENTRIES - 1), {maxLength: 2}),
  }),
  {minLength: STEPS, maxLength: STEPS},
);

/** Result of a run with random faults. */
export interface ControlRun {
  readonly recorder: ControlRecorder;
  /** Ids of all members, which are all running at the end. */
  readonly members: readonly string[];
  /** Number of changes that were reported as accepted. */
  readonly accepted: number;
}

/**
 * Changes the profiles of a site while random faults are injected into its
 * entry hosts and store.
 *
 * @param seed seed of the random faults and changes
 */
export async function runWithRandomFaults(seed: number): Promise<ControlRun> {
  seedRandom(seed);
  const site = createMemorySite({entries: ENTRIES});
  const recorder = createControlRecorder();
  const currentEntries = new Map<number, MemoryEntryHost | undefined>();
  site.entries.forEach((entry, index) => {
    recorder.startRecording(entry);
    currentEntries.set(index, entry);
  });
  await configureSite(site);
  const [plan] = fc.sample(steps, {seed, numRuns: 1});
  let changes = 0;
  let accepted = 0;
  for (const step of plan) {
    injectFault(site, recorder, currentEntries, step);
    for (const operator of step.operators) {
      changes += 1;
      const entry = currentEntries.get(operator);
      if (!entry) continue;
      void change(site, entry, recorder, changes).then(isAccepted => {
        if (isAccepted) accepted += 1;
      });
    }
    await advance(STEP_MS);
  }
  for (const index of currentEntries.keys())
    heal(site, recorder, currentEntries, index);
  await advance(RECOVERY_MS);
  const members = site.entries.map(({member}) => member.id);
  site.dispose();
  return {recorder, members: [...new Set(members)], accepted};
}

async function change(
  site: MemorySite,
  entry: MemoryEntryHost,
  recorder: ControlRecorder,
  number: number,
): Promise<boolean> {
  const {configuration} = entry.core;
  const profiles = createProfiles(site.site).map(profile => ({
    ...profile,
    deadlineMs: 1_000 + number,
  }));
  const request = {
    baseRevision: configuration.current.get()?.revision ?? 0,
    operationId: `change-${number}`,
    author: 'test',
    profiles,
  };
  const applied = await configuration.apply(request).catch(() => undefined);
  if (!applied?.isOk) return false;
  recorder.recordAccepted(entry, applied.value);
  return true;
}

function injectFault(
  site: MemorySite,
  recorder: ControlRecorder,
  currentEntries: Map<number, MemoryEntryHost | undefined>,
  {fault, target}: Step,
): void {
  const entry = currentEntries.get(target);
  if (fault === Fault.Heal || fault === Fault.Restart) {
    return heal(site, recorder, currentEntries, target);
  }
  if (!entry) return;
  switch (fault) {
    case Fault.None:
      return;
    case Fault.Crash:
      entry.crash();
      recorder.recordCrash(entry);
      currentEntries.set(target, undefined);
      return;
    case Fault.Pause:
      entry.storeFaults.silent = true;
      return blockPeers(site, entry, true, true);
    case Fault.BlockOneWay:
      return blockPeers(site, entry, true, false);
    case Fault.LoseAnswers:
      entry.storeFaults.lostAnswers = 0.5;
      return;
    case Fault.StoreDown:
      entry.storeFaults.down = true;
      return;
    case Fault.StoreDownForAll:
      for (const other of currentEntries.values()) {
        if (other) other.storeFaults.down = true;
      }
      return;
    case Fault.StoreSlow:
      entry.storeFaults.slowMs = 400;
  }
}

function heal(
  site: MemorySite,
  recorder: ControlRecorder,
  currentEntries: Map<number, MemoryEntryHost | undefined>,
  index: number,
): void {
  const entry = currentEntries.get(index);
  if (!entry) {
    const restarted = site.addEntry(`entry-${index + 1}`);
    currentEntries.set(index, restarted);
    return recorder.startRecording(restarted);
  }
  const noFaults = {down: false, slowMs: 0, lostAnswers: 0, silent: false};
  Object.assign(entry.storeFaults, noFaults);
  blockPeers(site, entry, false, true);
}

function blockPeers(
  site: MemorySite,
  {member}: MemoryEntryHost,
  blocked: boolean,
  bothWays: boolean,
): void {
  for (const {member: other} of site.entries) {
    if (other.id === member.id) continue;
    site.network.setBlocked(member.id, other.id, blocked);
    if (bothWays) site.network.setBlocked(other.id, member.id, blocked);
  }
}
