import {Result} from 'true-myth';
import {RecordFormat, decodeText} from '../../formats';
import {Store, StoreChange, StoreEntry, StoreFailure} from '../../ports';

/**
 * Wraps a store so that its readers never see a record of another format.
 *
 * Lists and watches omit such an entry, as if the key did not exist. A read of
 * its key fails, because treating the key as absent would let it be replaced.
 *
 * @param store the store to wrap
 * @param formats formats of the records; other entries are passed on
 * @param onInvalid called with the key of each such entry and the cause
 */
export function createCheckedStore(
  store: Store,
  formats: readonly RecordFormat[],
  onInvalid: (key: string, cause: string) => void,
): Store {
  function isValid({key, value}: StoreEntry): boolean {
    const format = formats.find(({prefix}) => key.startsWith(prefix));
    if (!format) return true;
    const cause = decodeText(format.schema, value).match({
      Ok: record =>
        format.keyOf(record) === key ? undefined : 'is under another key',
      Err: error => error,
    });
    if (cause !== undefined) onInvalid(key, cause);
    return cause === undefined;
  }

  function check(change: StoreChange): StoreChange {
    const {key, revision, entry} = change;
    return !entry || isValid(entry) ? change : {key, revision};
  }

  return {
    ...store,
    async get(key) {
      const read = await store.get(key);
      if (read.isErr || !read.value || isValid(read.value)) return read;
      return Result.err(StoreFailure.Rejected);
    },
    async list(prefix) {
      const listing = await store.list(prefix);
      return listing.map(({revision, entries}) => ({
        revision,
        entries: entries.filter(isValid),
      }));
    },
    async swap(swap) {
      const swapped = await store.swap(swap);
      return swapped.map(result =>
        !result.found || isValid(result.found)
          ? result
          : {...result, found: undefined},
      );
    },
    async transact(transaction) {
      const result = await store.transact(transaction);
      return result.map(({found, ...rest}) => ({
        ...rest,
        found: found.filter(isValid),
      }));
    },
    async watch(prefix, afterRevision, waitMs) {
      const seen = await store.watch(prefix, afterRevision, waitMs);
      return seen.map(({changes, ...rest}) => ({
        ...rest,
        changes: changes.map(check),
      }));
    },
  };
}
