import {Result} from 'true-myth';
import {Store, StoreChanges, StoreFailure, StoreListing} from '../../../ports';
import {RateLimiter, ChangeLog, delay} from '../../../state';
import {RelayLogs} from './relay_logs';

/** Minimum time between two watches of a prefix that isn't relayed. */
const WATCH_INTERVAL_MS = 100;
/** Maximum time for which a list waits for the first content of a prefix. */
const FIRST_CONTENT_WAIT_MS = 1_000;

/**
 * Creates a store whose lists and watches of relayed prefixes are answered from
 * the logs.
 *
 * The revisions in these answers are sequence numbers of the logs, which never
 * decrease, even if the store is restored; the versions of the entries are the
 * store's.
 *
 * @param store the key-value service, which serves all other calls
 * @param relayLogs content of the relayed prefixes
 * @param rateLimiter limits the rate of lists and watches of other prefixes
 */
export function createRelayedStore(
  store: Store,
  relayLogs: RelayLogs,
  rateLimiter: RateLimiter,
): Store {
  const answeredAt = new Map<string, number>();

  async function list(log: ChangeLog) {
    if (!log.isSynced()) await relayLogs.waitForChange(FIRST_CONTENT_WAIT_MS);
    if (!log.isSynced()) {
      return Result.err<StoreListing, StoreFailure>(StoreFailure.Unreachable);
    }
    return Result.ok<StoreListing, StoreFailure>({
      revision: log.getSequence(),
      entries: log.getEntries(),
    });
  }

  async function watch(log: ChangeLog, after: number, waitMs: number) {
    const seen = log.read(after);
    if (seen.changes.length > 0 || seen.compacted) {
      return Result.ok<StoreChanges, StoreFailure>(seen);
    }
    await waitForLogChange(log, waitMs);
    return Result.ok<StoreChanges, StoreFailure>(log.read(after));
  }

  async function limitRate(prefix: string): Promise<void> {
    const since =
      performance.now() - (answeredAt.get(prefix) ?? -WATCH_INTERVAL_MS);
    if (since < WATCH_INTERVAL_MS) await delay(WATCH_INTERVAL_MS - since);
    await rateLimiter.acquire();
  }

  return {
    ...store,
    async list(prefix) {
      const log = relayLogs.logs.get(prefix);
      if (log) return list(log);
      await rateLimiter.acquire();
      return store.list(prefix);
    },
    async watch(prefix, afterRevision, waitMs) {
      const log = relayLogs.logs.get(prefix);
      if (log) return watch(log, afterRevision, waitMs);
      await limitRate(prefix);
      const seen = await store.watch(prefix, afterRevision, waitMs);
      answeredAt.set(prefix, performance.now());
      return seen;
    },
  };
}

function waitForLogChange(log: ChangeLog, waitMs: number): Promise<void> {
  return new Promise(resolve => {
    const finish = () => {
      clearTimeout(timer);
      stop();
      resolve();
    };
    const timer = setTimeout(finish, waitMs);
    const stop = log.onChange(finish);
  });
}
