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
  dispose(): void;
}

/**
 * Age in ms up to which an earlier holder's order counts as recent; large, as
 * the wall clocks of hosts may differ by seconds.
 */
const MAX_RECENT_AGE_MS = 10_000;
/** Delay after a failed read, in ms. */
const RETRY_MS = 200;

/**
 * Creates the order log of a holder and loads the records of earlier holders.
 *
 * @param store the key-value store
 * @param fence the holder's fencing token, a condition of each write
 * @param gapMs minimum time in ms after an earlier holder's order for a machine
 */
export function createOrderLog(
  store: Store,
  fence: number,
  gapMs: number,
): OrderLog {
  const abort = new AbortController();
  const startedAt = performance.now();
  let earlier: ReadonlyMap<string, number> | undefined;
  let recorded = new Map<string, number>();

  async function read(): Promise<void> {
    while (!abort.signal.aborted && !earlier) {
      const found = await store.get(MACHINE_ORDERS_KEY);
      if (found.isErr) {
        await delay(RETRY_MS, abort.signal);
        continue;
      }
      const stored = JSON.parse(found.value?.value ?? '{}') as object;
      earlier = new Map(Object.entries(stored));
      recorded = new Map(earlier);
    }
  }

  void read();

  return {
    mayOrder(machine) {
      if (!earlier) return false;
      if (performance.now() > startedAt + gapMs) return true;
      const last = earlier.get(machine);
      return (
        last === undefined || Math.abs(Date.now() - last) > MAX_RECENT_AGE_MS
      );
    },
    async record(machines) {
      const now = Date.now();
      for (const [machine, at] of recorded) {
        if (Math.abs(now - at) > MAX_RECENT_AGE_MS) recorded.delete(machine);
      }
      for (const machine of machines) recorded.set(machine, now);
      const result = await store.transact({
        conditions: new Map([[LEADER_KEY, fence]]),
        puts: [
          {
            key: MACHINE_ORDERS_KEY,
            value: JSON.stringify(Object.fromEntries(recorded)),
          },
        ],
        removals: [],
      });
      return result.isOk && result.value.applied;
    },
    dispose: () => abort.abort(),
  };
}
