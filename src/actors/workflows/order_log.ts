import {Store} from '../../ports';
import {delay} from '../../state';
import {LEADER_KEY, MACHINE_ORDERS_KEY} from './keys';

/** Keeps in the store which machines were ordered lately, so that the next holder keeps its distance. */
export interface OrderLog {
  /** Tells whether this holder may order a machine now. */
  mayOrder(machine: string): boolean;
  /**
   * Notes machines that are about to be ordered.
   *
   * @returns true if the note is stored: this holder still leads
   */
  record(machines: readonly string[]): Promise<boolean>;
  dispose(): void;
}

/** Age in ms up to which an order of an earlier holder counts as recent: hosts' times of day may differ by seconds. */
const RECENT_MS = 10_000;
/** Wait after a failed read in ms. */
const RETRY_MS = 200;

/**
 * Creates the log of a holder and reads what earlier ones have noted.
 *
 * @param store the key-value service
 * @param fence the holder's term, on which each note depends
 * @param gapMs time that must pass since an earlier holder's order for a machine
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
      return last === undefined || Math.abs(Date.now() - last) > RECENT_MS;
    },
    async record(machines) {
      const now = Date.now();
      for (const [machine, at] of recorded) {
        if (Math.abs(now - at) > RECENT_MS) recorded.delete(machine);
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
