import {Store} from '../../ports';
import {delay} from '../../state';
import {MACHINE_ORDERS_KEY} from './keys';
import {createLeaderEntry} from './leader_entry';
import {OrderMark, createOrderMark, readOrderMarks} from './order_mark';
import {OrderSightings} from './order_sightings';
import {TermErrors} from './term_errors';

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

/** An order that is recorded in the store. */
interface RecordedOrder {
  readonly mark: OrderMark;
  /** Monotonic time in ms from which its gap counts. */
  readonly at: number;
}

/** Minimum time in ms between two writes that only remove orders. */
const CLEANUP_INTERVAL_MS = 1_000;
/** Delay after a failed read, in ms. */
const RETRY_MS = 200;

/**
 * Creates the order log of a holder and loads the records of earlier holders.
 *
 * The clocks of hosts may differ, so an earlier holder's order counts as if it
 * had been recorded when this member first saw it, at the latest when its term
 * began. Orders are removed from the record as soon as the gap after them is
 * over; otherwise a holder that has not seen them before could not use machines
 * that moved a while ago.
 *
 * @param store the key-value store
 * @param fence the holder's fencing token, a condition of each write
 * @param gapMs minimum time in ms after an earlier holder's order for a machine
 * @param unixNow returns the current Unix time in ms, stored for operators
 * @param sightings orders that this member has seen before its term
 * @param errors errors of the term; after a record that cannot be read, every
 *     machine may have had an order when the term began
 */
export function createOrderLog(
  store: Store,
  fence: number,
  gapMs: number,
  unixNow: () => number,
  sightings: OrderSightings,
  errors: TermErrors,
): OrderLog {
  const abort = new AbortController();
  const startedAt = performance.now();
  /** Last orders of earlier holders by machine. */
  let earlier: ReadonlyMap<string, RecordedOrder> | undefined;
  let areEarlierUnknown = false;
  /** Last orders by machine. */
  const recorded = new Map<string, RecordedOrder>();
  /** Number of orders of this term. */
  let orderCount = 0;
  /** Monotonic time in ms of the last write. */
  let writtenAt = startedAt;
  const entry = createLeaderEntry(store, fence, MACHINE_ORDERS_KEY);

  async function read(): Promise<void> {
    while (!abort.signal.aborted && !earlier) {
      const found = await store.get(MACHINE_ORDERS_KEY);
      if (found.isErr) {
        await delay(RETRY_MS, abort.signal);
        continue;
      }
      entry.setVersion(found.value?.version ?? 0);
      earlier = tryReadEarlier(found.value?.value ?? '{}');
      for (const [machine, order] of earlier) recorded.set(machine, order);
    }
  }

  function tryReadEarlier(text: string): ReadonlyMap<string, RecordedOrder> {
    try {
      return readEarlier(text);
    } catch (error) {
      errors.ignore(MACHINE_ORDERS_KEY, error);
      areEarlierUnknown = true;
      return new Map();
    }
  }

  function readEarlier(text: string): ReadonlyMap<string, RecordedOrder> {
    const orders = new Map<string, RecordedOrder>();
    for (const [machine, mark] of readOrderMarks(text)) {
      const at = sightings.getSeenAt(machine, mark) ?? startedAt;
      orders.set(machine, {mark, at: Math.min(at, startedAt)});
    }
    return orders;
  }

  function removeOld(): boolean {
    const now = performance.now();
    const sizeBefore = recorded.size;
    for (const [machine, {at}] of recorded) {
      if (now > at + gapMs) recorded.delete(machine);
    }
    return recorded.size < sizeBefore;
  }

  async function write(): Promise<boolean> {
    if (abort.signal.aborted) return false;
    return entry.write(() => {
      writtenAt = performance.now();
      const marks = [...recorded].map(([machine, {mark}]) => [machine, mark]);
      return JSON.stringify(Object.fromEntries(marks));
    });
  }

  errors.run('machine orders', read);

  return {
    mayOrder(machine) {
      if (!earlier) return false;
      const now = performance.now();
      if (areEarlierUnknown && now <= startedAt + gapMs) return false;
      const order = earlier.get(machine);
      return !order || now > order.at + gapMs;
    },
    async record(machines) {
      removeOld();
      const at = performance.now();
      for (const machine of machines) {
        orderCount += 1;
        const mark = createOrderMark(fence, orderCount, unixNow());
        recorded.set(machine, {mark, at});
      }
      return write();
    },
    review() {
      if (performance.now() < writtenAt + CLEANUP_INTERVAL_MS) return;
      if (removeOld()) errors.run('machine orders', write);
    },
    dispose: () => abort.abort(),
  };
}
