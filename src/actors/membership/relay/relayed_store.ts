import {Result} from 'true-myth';
import {Store, StoreChanges, StoreFailure, StoreListing} from '../../../ports';
import {RateLimiter, ChangeLog, delay} from '../../../state';
import {RelayLogs} from './relay_logs';

/** Least time between two watches of a prefix that isn't relayed. */
const REARM_MS = 100;
/** Longest wait of a list for the first content of a prefix. */
const FIRST_CONTENT_MS = 1_000;

/**
 * Creates a store whose lists and watches of relayed prefixes are answered from the logs.
 *
 * The revisions that these answers carry are sequences of the logs, which never
 * go back; the versions of the entries are the store's.
 *
 * @param store the key-value service, for everything else
 * @param relayLogs content of the relayed prefixes
 * @param budget paces the lists and watches of other prefixes
 */
export function createRelayedStore(
  store: Store,
  relayLogs: RelayLogs,
  budget: RateLimiter,
): Store {
  const answeredAt = new Map<string, number>();

  async function list(log: ChangeLog) {
    if (!log.isSynced()) await relayLogs.waitForNews(FIRST_CONTENT_MS);
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
    await waitForChange(log, waitMs);
    return Result.ok<StoreChanges, StoreFailure>(log.read(after));
  }

  async function pace(prefix: string): Promise<void> {
    const since = performance.now() - (answeredAt.get(prefix) ?? -REARM_MS);
    if (since < REARM_MS) await delay(REARM_MS - since);
    await budget.acquire();
  }

  return {
    ...store,
    async list(prefix) {
      const log = relayLogs.logs.get(prefix);
      if (log) return list(log);
      await budget.acquire();
      return store.list(prefix);
    },
    async watch(prefix, afterRevision, waitMs) {
      const log = relayLogs.logs.get(prefix);
      if (log) return watch(log, afterRevision, waitMs);
      await pace(prefix);
      const seen = await store.watch(prefix, afterRevision, waitMs);
      answeredAt.set(prefix, performance.now());
      return seen;
    },
  };
}

function waitForChange(log: ChangeLog, waitMs: number): Promise<void> {
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
