import {
  JsonServer,
  createJsonServer,
  createStoreApi,
} from '../../src/stand_ins/external_platform';
import {KeyValue} from '../../src/stand_ins/platform';
import {delay} from '../../src/state';
import {Random} from './random';

/** Faults of the store toward one entry host. */
export interface StoreServerFaults {
  slowMs: number;
  /** Share of writes that take effect but get no answer. */
  lostWrites: number;
  /** Every call is refused. */
  turnedAway: boolean;
}

/** The store as one entry host sees it. */
export interface StoreServer {
  readonly address: string;
  readonly faults: StoreServerFaults;
  dispose(): void;
}

const REFUSALS = [503, 429];

/** Starts the store's server for one entry host. */
export async function createStoreServer(
  keyValue: KeyValue,
  random: Random,
): Promise<StoreServer> {
  const faults = {slowMs: 0, lostWrites: 0, turnedAway: false};
  const answer = createStoreApi(keyValue);
  const server: JsonServer = await createJsonServer(async call => {
    if (faults.turnedAway) return {status: random.pick(REFUSALS)};
    if (faults.slowMs > 0) await delay(faults.slowMs);
    const result = await answer(call);
    const lost = call.method !== 'GET' && random.chance(faults.lostWrites);
    return lost ? new Promise<never>(() => {}) : result;
  });
  return {address: server.address, faults, dispose: () => server.dispose()};
}
