import {configurationFormat, decodeText} from '../../formats';
import {Store} from '../../ports';
import {write} from '../../state';
import {Configuration} from '../../types';

/** Earlier configuration revisions kept in the store. */
export interface ConfigurationHistory {
  /**
   * Stores a revision that is about to be superseded and deletes the one beyond
   * the limit.
   */
  keep(configuration: Configuration): Promise<void>;
  /**
   * Returns an earlier revision; undefined if it isn't stored or can't be read.
   */
  read(revision: number): Promise<Configuration | undefined>;
}

/** Maximum number of revisions that are kept. */
const MAX_REVISIONS = 64;
const PREFIX = 'config-history/';

/** Creates the configuration history of a store. */
export function createConfigurationHistory(store: Store): ConfigurationHistory {
  async function remove(revision: number): Promise<void> {
    if (revision <= 0) return;
    const key = keyOf(revision);
    const found = await store.get(key);
    if (found.isErr || !found.value) return;
    const expectedVersion = found.value.version;
    await store.swap({key, expectedVersion, value: undefined});
  }

  return {
    async keep(configuration) {
      await write(store, {
        key: keyOf(configuration.revision),
        expectedVersion: 0,
        value: JSON.stringify(configuration),
      });
      await remove(configuration.revision - MAX_REVISIONS);
    },
    async read(revision) {
      const found = await store.get(keyOf(revision));
      if (found.isErr || !found.value) return undefined;
      return decodeText(configurationFormat, found.value.value).unwrapOr(
        undefined,
      );
    },
  };
}

function keyOf(revision: number): string {
  return `${PREFIX}${revision}`;
}
