import {Store, StoreEntry, StoreFailure, Swap} from '../ports';
import {WriteOutcome} from './write_outcome';

/**
 * Result of a write, after a lost answer has been resolved by reading the key
 * back.
 */
export interface ConfirmedWrite {
  readonly outcome: WriteOutcome;
  /** Version of the key after the write, or the version found on a conflict. */
  readonly version: number;
  /** Entry found on a conflict. */
  readonly found?: StoreEntry;
}

/**
 * Makes a compare-and-swap and resolves a lost answer by reading the key back.
 *
 * The value must be unique among all writes to the key, for example through a
 * term, an operation id or an attempt number, so that reading it back proves
 * that this write took effect.
 *
 * @param store the key-value service
 * @param swap write to make
 * @returns outcome of the write, as far as it is certain
 */
export async function write(store: Store, swap: Swap): Promise<ConfirmedWrite> {
  const answer = await store.swap(swap);
  if (answer.isOk) {
    const {swapped, version, found} = answer.value;
    const outcome = swapped ? WriteOutcome.Written : WriteOutcome.Conflict;
    return {outcome, version, found};
  }
  if (answer.error !== StoreFailure.AnswerLost) {
    return {outcome: WriteOutcome.Unavailable, version: swap.expectedVersion};
  }
  return resolveLostAnswer(store, swap);
}

async function resolveLostAnswer(
  store: Store,
  swap: Swap,
): Promise<ConfirmedWrite> {
  const read = await store.get(swap.key);
  if (read.isErr) return {outcome: WriteOutcome.Unknown, version: 0};
  const found = read.value;
  const version = found?.version ?? 0;
  if (found?.value === swap.value) {
    return {outcome: WriteOutcome.Written, version};
  }
  if (version === swap.expectedVersion) {
    return {outcome: WriteOutcome.Unknown, version, found};
  }
  return {outcome: WriteOutcome.Conflict, version, found};
}
