import {LeaderRecord, PoolRecord} from '../../src/types';
import {ProcessSite, callJson} from '../shared';

/**
 * Reads the records of pools and their leaders directly from the platform's
 * store.
 */
export interface StoreReader {
  readLeaderRecord(pool: string): Promise<LeaderRecord | undefined>;
  readPoolRecord(pool: string): Promise<PoolRecord | undefined>;
}

/** Creates a reader of a site's store. */
export function createStoreReader(site: ProcessSite): StoreReader {
  async function read<T>(key: string): Promise<T | undefined> {
    const url = `${site.platformUrl}/kv/get`;
    const answer = (await callJson('POST', url, {key})) as {
      value?: {value: string};
    };
    return answer.value && (JSON.parse(answer.value.value) as T);
  }
  return {
    readLeaderRecord: pool => read<LeaderRecord>(`leaders/${pool}`),
    readPoolRecord: pool => read<PoolRecord>(`pools/${pool}`),
  };
}
