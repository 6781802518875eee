import {delay} from '../../src/state';
import {BOUNDS} from './bounds';
import {Entry} from './entry';

/** Stops entry hosts as the platform does, and starts them again. */
export interface EntryRevival {
  /**
   * Sends SIGTERM, kills the process if it outlives its grace period, and
   * starts it again.
   *
   * @returns whether it ended by itself within the grace period
   */
  stop(entry: Entry, pauseMs: number): Promise<boolean>;
  kill(entry: Entry, pauseMs: number): Promise<void>;
  /** Starts an entry host whose process has ended, and waits until it serves. */
  revive(entry: Entry, pauseMs: number): Promise<void>;
}

const READY_POLL_MS = 50;

/** Creates the revival of entry hosts. */
export function createEntryRevival(): EntryRevival {
  /** Revivals under way; overlapping faults share them. */
  const revivals = new Map<Entry, Promise<void>>();

  async function restart(entry: Entry, pauseMs: number): Promise<void> {
    await delay(pauseMs);
    entry.start();
    const {incarnation} = entry;
    const endsAt = performance.now() + BOUNDS.recoveryMs;
    while (performance.now() < endsAt && entry.incarnation === incarnation) {
      if (entry.stopping || (await entry.isReady())) return;
      await delay(READY_POLL_MS);
    }
  }

  function revive(entry: Entry, pauseMs: number): Promise<void> {
    const current = revivals.get(entry);
    if (current) return current;
    const revival = restart(entry, pauseMs).finally(() => {
      revivals.delete(entry);
      // A signal of another fault may have ended it again.
      return entry.isRunning() ? undefined : revive(entry, pauseMs);
    });
    revivals.set(entry, revival);
    return revival;
  }

  return {
    async stop(entry, pauseMs) {
      entry.signal('SIGTERM');
      const ended = await entry.awaitExit(BOUNDS.graceMs);
      if (!ended) {
        entry.signal('SIGKILL');
        await entry.awaitExit(BOUNDS.graceMs);
      }
      await revive(entry, pauseMs);
      return ended;
    },
    async kill(entry, pauseMs) {
      entry.signal('SIGKILL');
      await entry.awaitExit(BOUNDS.graceMs);
      await revive(entry, pauseMs);
    },
    revive,
  };
}
