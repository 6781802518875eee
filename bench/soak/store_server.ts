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
  /** Share of writes that take effect, at once or late, but get no answer. */
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
const TRANSACTION_PATH = '/-/kv-txn';
/** Share of the transactions without an answer that take effect late. */
const LATE_SHARE = 0.5;
/** Limits in ms of the time after which they take effect. */
const MIN_LATE_MS = 1_000;
const MAX_LATE_MS = 6_000;

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
    const lost = call.method !== 'GET' && random.chance(faults.lostWrites);
    const isLate =
      lost && call.path === TRANSACTION_PATH && random.chance(LATE_SHARE);
    if (isLate) await delay(random.between(MIN_LATE_MS, MAX_LATE_MS));
    const result = await answer(call);
    return lost ? new Promise<never>(() => {}) : result;
  });
  return {address: server.address, faults, dispose: () => server.dispose()};
}
