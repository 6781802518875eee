import {Store} from '../../../ports';
import {RateLimiter, ChangeLog, createBackoff, delay} from '../../../state';
import {RelayLogs} from './relay_logs';

/** Dependencies of following the store directly. */
export interface FollowStoreOptions {
  readonly store: Store;
  readonly rateLimiter: RateLimiter;
  readonly relayLogs: RelayLogs;
  /** Called with each error that does not come from a call to the store. */
  readonly reportError: (error: unknown) => void;
  /** Stops following when aborted. */
  readonly signal: AbortSignal;
}

const MAX_WATCH_WAIT_MS = 2_000;
/**
 * Minimum time between two watches of a prefix, so that changes arrive in
 * batches.
 */
const MIN_WATCH_INTERVAL_MS = 100;
/**
 * Mean time after which a prefix is listed again, in case a watch missed
 * changes.
 */
const RELIST_INTERVAL_MS = 60_000;

/** Keeps the logs up to date from the store until the signal aborts. */
export async function followStore(options: FollowStoreOptions): Promise<void> {
  const logs = [...options.relayLogs.logs.values()];
  await Promise.all(logs.map(log => followPrefix(options, log)));
}

async function followPrefix(
  options: FollowStoreOptions,
  log: ChangeLog,
): Promise<void> {
  const {store, rateLimiter, relayLogs, signal} = options;
  const backoff = createBackoff();
  let listAt = performance.now() + RELIST_INTERVAL_MS * (0.5 + Math.random());
  let listDue = !log.isSynced();

  async function list(): Promise<boolean> {
    const listing = await store.list(log.prefix);
    if (listing.isErr) return false;
    if (signal.aborted) return true;
    log.replace(listing.value);
    listDue = false;
    listAt = performance.now() + RELIST_INTERVAL_MS * (0.5 + Math.random());
    return true;
  }

  async function watch(): Promise<boolean> {
    const revision = log.getRevision();
    const read = await store.watch(log.prefix, revision, MAX_WATCH_WAIT_MS);
    if (read.isErr) return false;
    if (signal.aborted) return true;
    if (read.value.compacted || read.value.revision < revision) listDue = true;
    else log.append(read.value.changes, read.value.revision);
    return true;
  }

  function fail(error: unknown): boolean {
    options.reportError(error);
    listDue = true;
    return false;
  }

  while (!signal.aborted) {
    await rateLimiter.acquire();
    if (performance.now() >= listAt) listDue = true;
    const answered = await (listDue ? list() : watch()).catch(fail);
    if (signal.aborted) return;
    if (answered) {
      backoff.reset();
      relayLogs.confirm(log.prefix, 0);
    } else {
      relayLogs.disconnect();
    }
    await delay(answered ? MIN_WATCH_INTERVAL_MS : backoff.next(), signal);
  }
}
