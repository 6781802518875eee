import {Store, StoreChange, StoreEntry} from '../ports';
import {createBackoff} from './backoff';
import {delay} from './delay';
import {MirrorEntry} from './mirror_entry';
import {ObservableValue, createObservableValue} from './observable_value';
import {
  ErrorHandler,
  runInBackground,
  throwUncaught,
} from './run_in_background';

/** A local copy of every key under a prefix, kept up to date by a watch. */
export interface Mirror<T> {
  /** Entries by key; while the store is unavailable, the last known ones. */
  readonly entries: ObservableValue<ReadonlyMap<string, MirrorEntry<T>>>;
  /** Whether the prefix has been listed. */
  readonly synced: ObservableValue<boolean>;
  /** Whether the last call to the store was answered. */
  readonly connected: ObservableValue<boolean>;
  /** Returns the time in ms since the store last confirmed the entries. */
  getAgeMs(): number;
  /**
   * Applies a write that this process made, without waiting for the watch;
   * undefined deletes.
   */
  applyWrite(key: string, version: number, value: T | undefined): void;
  /** Stops the watch. */
  dispose(): void;
}

/** How a mirror follows its prefix. */
export interface MirrorOptions<T> {
  /** Maximum wait of one long-polling watch in ms. */
  readonly waitMs?: number;
  /**
   * Minimum time in ms between a watch that returned changes and the next one.
   */
  readonly minIntervalMs?: number;
  /**
   * Decodes an entry's value; undefined or null omits the key. By default
   * parses JSON.
   */
  readonly decode?: (entry: StoreEntry) => T | undefined;
  /** Delay in ms after a failed call; by default an exponential backoff. */
  readonly retryMs?: number;
  /**
   * Called with each entry that could not be decoded and its cause; the entry
   * is omitted.
   */
  readonly onInvalid?: (key: string, cause: unknown) => void;
  /**
   * Called with what a listener, or a call to the store, throws; the watch goes
   * on. By default, it is thrown where nobody handles it.
   */
  readonly onError?: ErrorHandler;
}

const WATCH_WAIT_MS = 20_000;
/**
 * Wait in ms of the first watch after a failed call; it tells at once whether
 * the store answers again.
 */
const PROBE_WAIT_MS = 1;
/**
 * Minimum time in ms from a watch that returned no changes to the next call, as
 * a store may end each watch at once.
 */
const MIN_IDLE_INTERVAL_MS = 50;

/**
 * Creates a mirror of a prefix of the store and starts to follow it.
 *
 * @param store the key-value service
 * @param prefix prefix of the keys to follow
 * @param options timing and decoding
 * @returns the mirror; the caller disposes of it
 */
export function createMirror<T>(
  store: Store,
  prefix: string,
  options: MirrorOptions<T> = {},
): Mirror<T> {
  const {
    waitMs = WATCH_WAIT_MS,
    minIntervalMs = 0,
    decode = entry => JSON.parse(entry.value) as T,
    retryMs,
    onInvalid = () => {},
    onError = throwUncaught,
  } = options;
  const entries = createObservableValue<ReadonlyMap<string, MirrorEntry<T>>>(
    new Map(),
    onError,
  );
  const synced = createObservableValue(false, onError);
  const connected = createObservableValue(false, onError);
  const backoff = createBackoff();
  const abort = new AbortController();
  /**
   * Revisions of own deletions that the watch has not reported yet, by key.
   * Older changes of these keys are ignored, as they would restore the deleted
   * entries.
   */
  const deletionRevisions = new Map<string, number>();
  let revision = 0;
  /** Monotonic time in ms at which the store last confirmed the entries. */
  let confirmedAt = -Infinity;

  async function follow(): Promise<void> {
    while (!abort.signal.aborted) {
      const answered = await (synced.get() ? watch() : list()).catch(fail);
      if (abort.signal.aborted) return;
      if (connected.get() !== answered) connected.set(answered);
      if (answered) backoff.reset();
      else await delay(retryMs ?? backoff.next(), abort.signal);
    }
  }

  function fail(error: unknown): boolean {
    onError(error);
    synced.set(false);
    return false;
  }

  async function list(): Promise<boolean> {
    const listing = await store.list(prefix);
    if (listing.isErr) return false;
    confirmedAt = performance.now();
    revision = listing.value.revision;
    deletionRevisions.clear();
    const next = new Map<string, MirrorEntry<T>>();
    for (const entry of listing.value.entries) put(next, entry);
    entries.set(next);
    synced.set(true);
    return true;
  }

  async function watch(): Promise<boolean> {
    const sentAt = performance.now();
    const seen = await store.watch(
      prefix,
      revision,
      connected.get() ? waitMs : PROBE_WAIT_MS,
    );
    if (seen.isErr) return false;
    if (seen.value.compacted || seen.value.revision < revision) {
      synced.set(false);
      await pauseSince(sentAt);
      return true;
    }
    confirmedAt = performance.now();
    revision = seen.value.revision;
    if (seen.value.changes.length === 0) {
      await pauseSince(sentAt);
      return true;
    }
    apply(seen.value.changes);
    if (minIntervalMs > 0) await delay(minIntervalMs, abort.signal);
    return true;
  }

  async function pauseSince(time: number): Promise<void> {
    const restMs = time + MIN_IDLE_INTERVAL_MS - performance.now();
    if (restMs > 0) await delay(restMs, abort.signal);
  }

  function apply(changes: readonly StoreChange[]): void {
    const next = new Map(entries.get());
    for (const change of changes) applyChange(next, change);
    entries.set(next);
  }

  function applyChange(
    next: Map<string, MirrorEntry<T>>,
    change: StoreChange,
  ): void {
    const known = next.get(change.key);
    if (known && known.version > change.revision) return;
    if (change.revision < (deletionRevisions.get(change.key) ?? 0)) return;
    deletionRevisions.delete(change.key);
    if (change.entry) put(next, change.entry);
    else next.delete(change.key);
  }

  function put(next: Map<string, MirrorEntry<T>>, entry: StoreEntry): void {
    const {key, version} = entry;
    const value = tryDecode(entry);
    if (value === undefined || value === null) next.delete(key);
    else next.set(key, {key, version, value});
  }

  /** One entry that cannot be decoded must not end the watch of all others. */
  function tryDecode(entry: StoreEntry): T | undefined {
    try {
      return decode(entry);
    } catch (error) {
      onInvalid(entry.key, error);
      return undefined;
    }
  }

  runInBackground(follow, onError);

  return {
    entries,
    synced,
    connected,
    getAgeMs: () => performance.now() - confirmedAt,
    applyWrite(key, version, value) {
      const known = entries.get().get(key);
      if (known && known.version >= version) return;
      const next = new Map(entries.get());
      if (value === undefined) {
        next.delete(key);
        deletionRevisions.set(key, version);
      } else {
        next.set(key, {key, version, value});
      }
      entries.set(next);
    },
    dispose: () => abort.abort(),
  };
}
