import fc from 'fast-check';
import {createProfiles} from '../../src/stand_ins/site';
import {
  MemoryEntry,
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
  /** Entry hosts at which two operators change the profiles at once. */
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

/** A finished run with what was recorded. */
export interface ControlRun {
  readonly recorder: ControlRecorder;
  /** Ids of the members that were alive at the end. */
  readonly members: readonly string[];
  /** Changes that operators were told to be accepted. */
  readonly accepted: number;
}

/**
 * Changes the profiles of a site whose entry hosts and store fail at random.
 *
 * @param seed start of the sequence of faults
 */
export async function runFaultyControlSite(seed: number): Promise<ControlRun> {
  seedRandom(seed);
  const site = createMemorySite({entries: ENTRIES});
  const recorder = createControlRecorder();
  const current = new Map<number, MemoryEntry | undefined>();
  site.entries.forEach((entry, index) => {
    recorder.follow(entry);
    current.set(index, entry);
  });
  await configureSite(site);
  const [plan] = fc.sample(steps, {seed, numRuns: 1});
  let changes = 0;
  let accepted = 0;
  for (const step of plan) {
    cause(site, recorder, current, step);
    for (const operator of step.operators) {
      changes += 1;
      const entry = current.get(operator);
      if (!entry) continue;
      void change(site, entry, recorder, changes).then(taken => {
        if (taken) accepted += 1;
      });
    }
    await advance(STEP_MS);
  }
  for (const index of current.keys()) heal(site, recorder, current, index);
  await advance(RECOVERY_MS);
  const members = site.entries.map(({member}) => member.id);
  site.dispose();
  return {recorder, members: [...new Set(members)], accepted};
}

async function change(
  site: MemorySite,
  entry: MemoryEntry,
  recorder: ControlRecorder,
  number: number,
): Promise<boolean> {
  const {configuration} = entry.core;
  const profiles = createProfiles(site.site).map(profile => ({
    ...profile,
    deadlineMs: 1_000 + number,
  }));
  const asked = {
    baseRevision: configuration.current.get()?.revision ?? 0,
    operationId: `change-${number}`,
    author: 'test',
    profiles,
  };
  const applied = await configuration.apply(asked).catch(() => undefined);
  if (!applied?.isOk) return false;
  recorder.noteAccepted(entry, applied.value);
  return true;
}

function cause(
  site: MemorySite,
  recorder: ControlRecorder,
  current: Map<number, MemoryEntry | undefined>,
  {fault, target}: Step,
): void {
  const entry = current.get(target);
  if (fault === Fault.Heal || fault === Fault.Restart) {
    return heal(site, recorder, current, target);
  }
  if (!entry) return;
  switch (fault) {
    case Fault.None:
      return;
    case Fault.Crash:
      entry.crash();
      recorder.noteCrash(entry);
      current.set(target, undefined);
      return;
    case Fault.Pause:
      entry.storeFaults.silent = true;
      return block(site, entry, true, true);
    case Fault.BlockOneWay:
      return block(site, entry, true, false);
    case Fault.LoseAnswers:
      entry.storeFaults.lostAnswers = 0.5;
      return;
    case Fault.StoreDown:
      entry.storeFaults.down = true;
      return;
    case Fault.StoreDownForAll:
      for (const other of current.values()) {
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
  current: Map<number, MemoryEntry | undefined>,
  index: number,
): void {
  const entry = current.get(index);
  if (!entry) {
    const restarted = site.addEntry(`entry-${index + 1}`);
    current.set(index, restarted);
    return recorder.follow(restarted);
  }
  const none = {down: false, slowMs: 0, lostAnswers: 0, silent: false};
  Object.assign(entry.storeFaults, none);
  block(site, entry, false, true);
}

function block(
  site: MemorySite,
  {member}: MemoryEntry,
  blocked: boolean,
  bothWays: boolean,
): void {
  for (const {member: other} of site.entries) {
    if (other.id === member.id) continue;
    site.network.setBlocked(member.id, other.id, blocked);
    if (bothWays) site.network.setBlocked(other.id, member.id, blocked);
  }
}
