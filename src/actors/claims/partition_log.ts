import {randomUUID} from 'node:crypto';
import {Result} from 'true-myth';
import {
  ClaimEvent,
  Generation,
  createNextGeneration,
  findExpired,
} from '../../decisions/claims';
import {decodeText, generationFormat} from '../../formats';
import {Store, StoreEntry, StoreFailure, Swap} from '../../ports';
import {delay} from '../../state';
import {AppendFailure} from './append_failure';

/**
 * Stored event log of one claims partition, as seen by one owner.
 *
 * Every append is a compare-and-swap of the last generation at the version that
 * this owner read. The version fences stale owners: an append fails if another
 * owner has written in the meantime.
 */
export interface PartitionLog {
  /** Reads all generations; later appends are conditional on their versions. */
  load(): Promise<Result<readonly Generation[], StoreFailure>>;
  /**
   * Appends events in one write.
   *
   * @param events the events to append
   * @param deadlineAt monotonic time after which an uncertain write is no
   *     longer checked, in ms
   * @returns the generation that contains the events
   */
  append(
    events: readonly ClaimEvent[],
    deadlineAt: number,
  ): Promise<Result<Generation, AppendFailure>>;
  /** Deletes expired generations; returns the highest deleted number, or 0. */
  expire(): Promise<number>;
  /** Returns the fencing term of this owner's writes. */
  getTerm(): number;
}

/** Options for {@link createPartitionLog}. */
export interface PartitionLogOptions {
  readonly store: Store;
  readonly partition: number;
  readonly owner: string;
  readonly retentionMs: number;
  /** Called with each entry that can't be read, and why. */
  readonly onInvalid: (key: string, cause: string) => void;
}

interface StoredGeneration {
  readonly generation: Generation;
  readonly version: number;
}

const NUMBER_DIGITS = 9;
const NUMBER_PATTERN = /^\d{9}$/;
const OTHER_KEY = 'is under another key';
const SWAP_RETRY_MS = 20;

/** Creates the log of a partition; `load` must be called before any append. */
export function createPartitionLog(options: PartitionLogOptions): PartitionLog {
  const {store, partition, owner, retentionMs, onInvalid} = options;
  const prefix = `claims/${partition}/`;
  let stored: readonly StoredGeneration[] = [];
  let term = 0;

  function keyOf({number}: Generation): string {
    return `${prefix}${String(number).padStart(NUMBER_DIGITS, '0')}`;
  }

  /**
   * Repeats a swap whose response was lost until it is certain whether this or
   * another write took effect, or until the deadline.
   */
  async function swapUntilResolved(
    swap: Swap,
    deadlineAt: number,
  ): Promise<Result<number, AppendFailure>> {
    let responseLost = false;
    for (;;) {
      const answer = await store.swap(swap);
      if (answer.isOk) {
        const {swapped, version, found} = answer.value;
        return swapped ? Result.ok(version) : resolveFound(swap, found);
      }
      if (answer.error === StoreFailure.AnswerLost) responseLost = true;
      if (!responseLost) return Result.err(AppendFailure.Unavailable);
      const read = await store.get(swap.key);
      const version = read.isOk ? (read.value?.version ?? 0) : undefined;
      const changed = version !== undefined && version !== swap.expectedVersion;
      if (changed && read.isOk) return resolveFound(swap, read.value);
      if (performance.now() > deadlineAt) {
        return Result.err(AppendFailure.Unknown);
      }
      await delay(SWAP_RETRY_MS);
    }
  }

  function resolveFound(
    swap: Swap,
    found: StoreEntry | undefined,
  ): Result<number, AppendFailure> {
    if (found?.value !== swap.value) return Result.err(AppendFailure.Fenced);
    return Result.ok(found?.version ?? 0);
  }

  return {
    async load() {
      const listing = await store.list(prefix);
      if (listing.isErr) return Result.err(listing.error);
      const read: StoredGeneration[] = [];
      for (const {key, value, version} of listing.value.entries) {
        const generation = decodeText(generationFormat, value);
        if (generation.isErr) onInvalid(key, generation.error);
        else if (keyOf(generation.value) !== key) onInvalid(key, OTHER_KEY);
        else read.push({generation: generation.value, version});
        // Without it, a claim could be granted a second time.
        if (generation.isErr && NUMBER_PATTERN.test(key.slice(prefix.length)))
          return Result.err(StoreFailure.Rejected);
      }
      stored = read.sort((a, b) => a.generation.number - b.generation.number);
      term = (stored.at(-1)?.generation.term ?? 0) + 1;
      return Result.ok(stored.map(({generation}) => generation));
    },
    async append(events, deadlineAt) {
      const last = stored.at(-1);
      const generation = createNextGeneration(last?.generation, events, {
        term,
        owner,
        operationId: randomUUID(),
        now: Date.now(),
        retentionMs,
      });
      const replacesLast = last?.generation.number === generation.number;
      const swap: Swap = {
        key: keyOf(generation),
        expectedVersion: replacesLast ? last.version : 0,
        value: JSON.stringify(generation),
      };
      const swapped = await swapUntilResolved(swap, deadlineAt);
      if (swapped.isErr) return Result.err(swapped.error);
      const previous = replacesLast ? stored.slice(0, -1) : stored;
      stored = [...previous, {generation, version: swapped.value}];
      return Result.ok(generation);
    },
    async expire() {
      const generations = stored.map(({generation}) => generation);
      let highest = 0;
      for (const old of findExpired(generations, Date.now(), retentionMs)) {
        const [{version}] = stored;
        const deleted = await store.swap({
          key: keyOf(old),
          expectedVersion: version,
          value: undefined,
        });
        if (deleted.isErr) break;
        stored = stored.slice(1);
        highest = old.number;
      }
      return highest;
    },
    getTerm: () => term,
  };
}
