import {Store} from '../../ports';
import {delay} from '../../state';
import {LEADER_KEY, MACHINE_ORDERS_KEY} from './keys';

/**
 * Records recent machine orders in the store, so that the next holder can
 * observe the minimum gap after them.
 */
export interface OrderLog {
  /** Returns whether this holder may send an order for a machine now. */
  mayOrder(machine: string): boolean;
  /**
   * Records machines for which orders are about to be sent.
   *
   * @returns true if the record is stored, which proves that this holder leads
   */
  record(machines: readonly string[]): Promise<boolean>;
  /**
   * Removes orders from the record once a later holder need not observe the gap
   * after them; called regularly.
   */
  review(): void;
  dispose(): void;
}

/** Minimum time in ms between two writes that only remove orders. */
const CLEANUP_INTERVAL_MS = 1_000;
/** Delay after a failed read, in ms. */
const RETRY_MS = 200;

/**
 * Creates the order log of a holder and loads the records of earlier holders.
 *
 * The clocks of hosts may differ, so the age of an earlier holder's order is
 * not known: each counts as if it had been sent when this holder's term began.
 * So orders are removed from the record as soon as the gap after them is over;
 * otherwise a new holder could not use machines that moved a while ago.
 *
 * @param store the key-value store
 * @param fence the holder's fencing token, a condition of each write
 * @param gapMs minimum time in ms after an earlier holder's order for a machine
 * @param unixNow returns the current Unix time in ms, stored for operators
 */
export function createOrderLog(
  store: Store,
  fence: number,
  gapMs: number,
  unixNow: () => number,
): OrderLog {
  const abort = new AbortController();
  const startedAt = performance.now();
  /** Machines that earlier holders have ordered. */
  let earlier: ReadonlySet<string> | undefined;
  /** Recorded machines with the monotonic time in ms of their last order. */
  const recorded = new Map<string, number>();
  /** Monotonic time in ms of the last write. */
  let writtenAt = startedAt;
  /** Version of the record; undefined after a write with an unknown outcome. */
  let version: number | undefined;
  /** Resolves once the last write has ended. */
  let lastWrite: Promise<unknown> = Promise.resolve();

  async function read(): Promise<void> {
    while (!abort.signal.aborted && !earlier) {
      const found = await store.get(MACHINE_ORDERS_KEY);
      if (found.isErr) {
        await delay(RETRY_MS, abort.signal);
        continue;
      }
      version = found.value?.version ?? 0;
      const stored = JSON.parse(found.value?.value ?? '{}') as object;
      earlier = new Set(Object.keys(stored));
      for (const machine of earlier) recorded.set(machine, startedAt);
    }
  }

  function removeOld(): boolean {
    const now = performance.now();
    const sizeBefore = recorded.size;
    for (const [machine, at] of recorded) {
      if (now > at + gapMs) recorded.delete(machine);
    }
    return recorded.size < sizeBefore;
  }

  /**
   * Writes the record after the writes before it. Each write has the version of
   * the record as a condition, so that one that is carried out late cannot
   * remove an order that was recorded meanwhile.
   */
  function write(): Promise<boolean> {
    const written = lastWrite.then(writeOnce);
    lastWrite = written;
    return written;
  }

  async function writeOnce(): Promise<boolean> {
    version ??= await readVersion();
    if (version === undefined || abort.signal.aborted) return false;
    const now = performance.now();
    writtenAt = now;
    const orders = [...recorded].map(([machine, at]) => [
      machine,
      Math.round(unixNow() + at - now),
    ]);
    const result = await store.transact({
      conditions: new Map([
        [LEADER_KEY, fence],
        [MACHINE_ORDERS_KEY, version],
      ]),
      puts: [
        {
          key: MACHINE_ORDERS_KEY,
          value: JSON.stringify(Object.fromEntries(orders)),
        },
      ],
      removals: [],
    });
    const applied = result.isOk && result.value.applied;
    version = applied ? result.value.revision : undefined;
    return applied;
  }

  async function readVersion(): Promise<number | undefined> {
    const found = await store.get(MACHINE_ORDERS_KEY);
    return found.isOk ? (found.value?.version ?? 0) : undefined;
  }

  void read();

  return {
    mayOrder(machine) {
      if (!earlier) return false;
      if (performance.now() > startedAt + gapMs) return true;
      return !earlier.has(machine);
    },
    async record(machines) {
      removeOld();
      const now = performance.now();
      for (const machine of machines) recorded.set(machine, now);
      return write();
    },
    review() {
      if (performance.now() < writtenAt + CLEANUP_INTERVAL_MS) return;
      if (removeOld()) void write();
    },
    dispose: () => abort.abort(),
  };
}
