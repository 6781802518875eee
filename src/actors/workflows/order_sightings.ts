import {Store} from '../../ports';
import {ErrorHandler, Mirror, createMirror} from '../../state';
import {MACHINE_ORDERS_KEY} from './keys';
import {OrderMark, readOrderMarks} from './order_mark';

/**
 * Follows the record of machine orders, so that a member that becomes the
 * leader knows how long ago the orders of earlier holders were recorded.
 */
export interface OrderSightings {
  /**
   * Returns the monotonic time in ms at which this member first saw the last
   * order for a machine; undefined if it has not seen it.
   */
  getSeenAt(machine: string, mark: OrderMark): number | undefined;
  dispose(): void;
}

/** Sightings of a member that does not follow the record. */
export const NO_ORDER_SIGHTINGS: OrderSightings = {
  getSeenAt: () => undefined,
  dispose: () => {},
};

/** Minimum time between two reads of the record, in ms. */
const MIN_INTERVAL_MS = 250;

interface Sighting {
  readonly mark: OrderMark;
  readonly seenAt: number;
}

/**
 * Creates the sightings of an entry host and starts to follow the record.
 *
 * The clocks of hosts may differ, but an order is recorded before it is seen
 * here, so its age on this host's clock is a lower bound.
 *
 * @param store the key-value store
 * @param waitMs maximum wait of a watch in ms
 * @param retryMs delay after a failed call in ms
 * @param onError called with errors of the watch, which goes on
 */
export function createOrderSightings(
  store: Store,
  waitMs: number,
  retryMs: number,
  onError: ErrorHandler,
): OrderSightings {
  const record: Mirror<ReadonlyMap<string, OrderMark>> = createMirror(
    store,
    MACHINE_ORDERS_KEY,
    {
      waitMs,
      retryMs,
      onError,
      minIntervalMs: MIN_INTERVAL_MS,
      decode: ({value}) => readOrderMarks(value),
    },
  );
  let sightings: ReadonlyMap<string, Sighting> = new Map();

  function getSeenAt(machine: string, mark: OrderMark): number | undefined {
    const known = sightings.get(machine);
    return known?.mark === mark ? known.seenAt : undefined;
  }

  record.entries.onChange(entries => {
    const marks = entries.get(MACHINE_ORDERS_KEY)?.value ?? new Map();
    const next = new Map<string, Sighting>();
    for (const [machine, mark] of marks) {
      const seenAt = getSeenAt(machine, mark) ?? performance.now();
      next.set(machine, {mark, seenAt});
    }
    sightings = next;
  });

  return {
    getSeenAt,
    dispose: () => record.dispose(),
  };
}
