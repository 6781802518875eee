import {Store} from '../../../ports';
import {RateLimiter, ChangeLog, createBackoff, delay} from '../../../state';
import {RelayLogs} from './relay_logs';

/** Where a member that follows the store itself gets what it needs. */
export interface FollowStoreOptions {
  readonly store: Store;
  readonly budget: RateLimiter;
  readonly relayLogs: RelayLogs;
  /** Ends the following. */
  readonly signal: AbortSignal;
}

const WATCH_WAIT_MS = 2_000;
/** Least time between two watches of a prefix, so that changes come in batches. */
const REARM_MS = 100;
/** Time after which a prefix is listed anew, against changes that a watch missed. */
const RELIST_MS = 60_000;

/** Keeps the logs up to date from the store until the signal aborts. */
export async function followStore(options: FollowStoreOptions): Promise<void> {
  const logs = [...options.relayLogs.logs.values()];
  await Promise.all(logs.map(log => followPrefix(options, log)));
}

async function followPrefix(
  options: FollowStoreOptions,
  log: ChangeLog,
): Promise<void> {
  const {store, budget, relayLogs, signal} = options;
  const backoff = createBackoff();
  let listAt = performance.now() + RELIST_MS * (0.5 + Math.random());
  let listDue = !log.isSynced();

  async function list(): Promise<boolean> {
    const listing = await store.list(log.prefix);
    if (listing.isErr) return false;
    if (signal.aborted) return true;
    log.replace(listing.value);
    listDue = false;
    listAt = performance.now() + RELIST_MS * (0.5 + Math.random());
    return true;
  }

  async function watch(): Promise<boolean> {
    const revision = log.getRevision();
    const seen = await store.watch(log.prefix, revision, WATCH_WAIT_MS);
    if (seen.isErr) return false;
    if (signal.aborted) return true;
    if (seen.value.compacted || seen.value.revision < revision) listDue = true;
    else log.append(seen.value.changes, seen.value.revision);
    return true;
  }

  while (!signal.aborted) {
    await budget.acquire();
    if (performance.now() >= listAt) listDue = true;
    const answered = listDue ? await list() : await watch();
    if (signal.aborted) return;
    if (answered) {
      backoff.reset();
      relayLogs.confirm(log.prefix, 0);
    } else {
      relayLogs.disconnect();
    }
    await delay(answered ? REARM_MS : backoff.next(), signal);
  }
}
