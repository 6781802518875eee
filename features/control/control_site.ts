import assert from 'node:assert/strict';
import {Result} from 'true-myth';
import {ChangeRefusal} from '../../src/actors/configuration';
import {createProfiles} from '../../src/stand_ins/site';
import {Configuration, LeaderRecord, PoolRecord} from '../../src/types';
import {
  MemoryEntryHost,
  MemorySite,
  configureSite,
  createMemorySite,
} from '../support/memory_site';
import {advanceUntil, settle} from '../support/paused_clock';
import {ControlRecorder, createControlRecorder} from './control_recorder';

/**
 * An in-memory site whose control plane (leadership and configuration) is
 * recorded.
 */
export interface ControlSite {
  readonly memory: MemorySite;
  readonly recorder: ControlRecorder;
  /** Names of the site's pools. */
  readonly pools: readonly string[];
  /** Running members by number, starting at 1. */
  readonly members: Map<number, MemoryEntryHost>;
  crash(number: number): void;
  start(number: number, id?: string): MemoryEntryHost;
  /** Returns the number of the member that leads a pool. */
  findLeader(pool: string): number;
  readLeaderRecord(pool: string): LeaderRecord | undefined;
  readPoolRecord(pool: string): PoolRecord;
  /**
   * Waits until every pool has exactly one member that leads it under the
   * stored term.
   */
  waitForLeaders(limitMs: number): Promise<void>;
  /** Changes the deadline of profile dish-desk at a member. */
  change(
    number: number,
    operationId: string,
    baseRevision: number,
    deadlineMs: number,
  ): Promise<Result<Configuration, ChangeRefusal>>;
}

const LEADERS_TIMEOUT_MS = 5_000;

/**
 * Starts the members, applies the profiles and waits until every pool has a
 * leader.
 */
export async function createControlSite(count: number): Promise<ControlSite> {
  const memory = createMemorySite({entries: count});
  const recorder = createControlRecorder();
  const members = new Map<number, MemoryEntryHost>();
  const pools = memory.site.pools.map(({name}) => name);
  memory.entries.forEach((entry, index) => {
    recorder.startRecording(entry);
    members.set(index + 1, entry);
  });

  function readStored<T>(key: string): T | undefined {
    const found = memory.keyValue.get(key);
    return found && (JSON.parse(found.value) as T);
  }

  function isLed(pool: string): boolean {
    const term = readStored<PoolRecord>(`pools/${pool}`)?.term;
    const leading = [...members.values()].filter(
      ({core}) => core.leadership.ledPools.get().get(pool) === term,
    );
    return leading.length === 1;
  }

  const site: ControlSite = {
    memory,
    recorder,
    pools,
    members,
    crash(number) {
      const entry = members.get(number);
      assert.ok(entry);
      entry.crash();
      recorder.recordCrash(entry);
      members.delete(number);
    },
    start(number, id = `entry-${number}`) {
      const entry = memory.addEntry(id);
      recorder.startRecording(entry);
      members.set(number, entry);
      return entry;
    },
    findLeader(pool) {
      const found = [...members].find(([, {core}]) =>
        core.leadership.ledPools.get().has(pool),
      );
      assert.ok(found, `pool ${pool} has no leader`);
      return found[0];
    },
    readLeaderRecord: pool => readStored<LeaderRecord>(`leaders/${pool}`),
    readPoolRecord: pool =>
      readStored<PoolRecord>(`pools/${pool}`) ??
      assert.fail(`pool ${pool} has no record`),
    async waitForLeaders(limitMs) {
      await advanceUntil(() => pools.every(isLed), limitMs);
    },
    change(number, operationId, baseRevision, deadlineMs) {
      const entry = members.get(number);
      assert.ok(entry);
      const profiles = createProfiles(memory.site).map(profile =>
        profile.name === 'dish-desk' ? {...profile, deadlineMs} : profile,
      );
      const {configuration} = entry.core;
      const author = `operator-${number}`;
      return settle(
        configuration.apply({baseRevision, operationId, author, profiles}),
      );
    },
  };
  await configureSite(memory);
  await site.waitForLeaders(LEADERS_TIMEOUT_MS);
  return site;
}
