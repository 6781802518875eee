import {Store, StoreEntry, StoreFailure, Swap} from '../ports';
import {WriteOutcome} from './write_outcome';

/** Result of a write whose lost answer was resolved by reading back. */
export interface Write {
  readonly outcome: WriteOutcome;
  /** Version of the key after the write, or the one found on a conflict. */
  readonly version: number;
  readonly found?: StoreEntry;
}

/**
 * Swaps a value and resolves a lost answer by reading the key back.
 *
 * The value must differ from every other writer's value for the same key, by a
 * term, an operation id or an attempt number, so that reading it back proves
 * that this write took effect.
 *
 * @param store the key-value service
 * @param swap the write
 * @returns what is certain about the write
 */
export async function write(store: Store, swap: Swap): Promise<Write> {
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

async function resolveLostAnswer(store: Store, swap: Swap): Promise<Write> {
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
