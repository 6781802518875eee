import {LeaderRecord, PoolRecord} from '../../src/types';
import {ProcessSite, callJson} from '../shared';

/** Reads the records of leaders straight from the platform. */
export interface StoreReader {
  readClaim(pool: string): Promise<LeaderRecord | undefined>;
  readRecord(pool: string): Promise<PoolRecord | undefined>;
}

/** Creates the reader of a site. */
export function createStoreReader(site: ProcessSite): StoreReader {
  async function read<T>(key: string): Promise<T | undefined> {
    const url = `${site.platformUrl}/kv/get`;
    const answer = (await callJson('POST', url, {key})) as {
      value?: {value: string};
    };
    return answer.value && (JSON.parse(answer.value.value) as T);
  }
  return {
    readClaim: pool => read<LeaderRecord>(`leaders/${pool}`),
    readRecord: pool => read<PoolRecord>(`pools/${pool}`),
  };
}
