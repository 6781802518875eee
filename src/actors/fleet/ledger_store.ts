import {Store} from '../../ports';
import {ConfirmedWrite, WriteOutcome, write} from '../../state';
import {PoolRecord, Unavailability} from '../../types';
import {FleetView} from './fleet_view';

/** A pool's record with its version, as its leader last read or wrote it. */
export interface Ledger {
  readonly record: PoolRecord;
  readonly version: number;
}

/** Reads and writes a pool's record within one leadership term. */
export interface LedgerStore {
  /**
   * Reads the record; undefined if it can't be read or belongs to another term.
   */
  load(): Promise<Ledger | undefined>;
  /**
   * Replaces the ledger in the record by compare-and-swap.
   *
   * Every written value has its own sequence number. If the answer to a write
   * is lost, reading the record back shows whether it was applied; a write that
   * is applied late makes the next swap fail with a conflict.
   */
  save(
    ledger: Ledger,
    unavailable: readonly Unavailability[],
    budget: number,
  ): Promise<{readonly outcome: WriteOutcome; readonly ledger?: Ledger}>;
}

/**
 * Creates a store for a pool's record.
 *
 * @param store the key-value service
 * @param view is updated after each write
 * @param pool name of the pool
 * @param term term in which this member leads the pool
 */
export function createLedgerStore(
  store: Store,
  view: FleetView,
  pool: string,
  term: number,
): LedgerStore {
  const key = `pools/${pool}`;
  let sequence = 0;

  function accept({version}: ConfirmedWrite, record: PoolRecord): Ledger {
    view.records.applyWrite(key, version, record);
    return {record, version};
  }

  return {
    async load() {
      const read = await store.get(key);
      if (read.isErr || !read.value) return undefined;
      const record = JSON.parse(read.value.value) as PoolRecord;
      if (record.term !== term) return undefined;
      sequence = Math.max(sequence, record.sequence ?? 0);
      return {record, version: read.value.version};
    },
    async save(ledger, unavailable, budget) {
      sequence += 1;
      const record = {...ledger.record, unavailable, sequence, budget};
      const written = await write(store, {
        key,
        expectedVersion: ledger.version,
        value: JSON.stringify(record),
      });
      const {outcome} = written;
      if (outcome !== WriteOutcome.Written) return {outcome};
      return {outcome, ledger: accept(written, record)};
    },
  };
}
