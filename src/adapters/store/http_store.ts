import {Result} from 'true-myth';
import {Agent, request} from 'undici';
import {
  Store,
  StoreChanges,
  StoreEntry,
  StoreFailure,
  StoreListing,
  SwapResult,
} from '../../ports';

/** How the key-value service is reached. */
export interface HttpStoreOptions {
  /** Base URLs of the service; the next one is used after a failure. */
  readonly urls: readonly string[];
  /** Time limit of a call in ms; a watch's wait comes on top. */
  readonly timeoutMs: number;
}

const CONNECTIONS = 16;
const UNREACHABLE_CODES: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
];

/**
 * Creates a client of the key-value service over HTTP.
 *
 * @param options addresses and time limit
 * @returns the store, which its owner disposes
 */
export function createHttpStore(options: HttpStoreOptions): Store {
  const agent = new Agent({
    connections: CONNECTIONS,
    connectTimeout: options.timeoutMs,
    keepAliveTimeout: 5_000,
  });
  let current = 0;

  async function call<T>(
    path: string,
    body: object,
    waitMs = 0,
  ): Promise<Result<T, StoreFailure>> {
    const url = options.urls[current % options.urls.length];
    try {
      const response = await request(`${url}${path}`, {
        method: 'POST',
        dispatcher: agent,
        body: JSON.stringify(body),
        headers: {'content-type': 'application/json'},
        signal: AbortSignal.timeout(options.timeoutMs + waitMs),
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      const answer = (await response.body.json()) as {value: T};
      if (response.statusCode === 200) return Result.ok(answer.value);
      current += 1;
      const refused = response.statusCode === 503;
      return Result.err(
        refused ? StoreFailure.Unreachable : StoreFailure.Rejected,
      );
    } catch (error) {
      current += 1;
      return Result.err(classify(error));
    }
  }

  return {
    get: key => call<StoreEntry | undefined>('/kv/get', {key}),
    list: prefix => call<StoreListing>('/kv/list', {prefix}),
    swap: swap => call<SwapResult>('/kv/swap', {swap}),
    grantLease: lengthMs => call<string>('/lease/grant', {lengthMs}),
    renewLease: leaseId => call<boolean>('/lease/renew', {leaseId}),
    revokeLease: leaseId => call<void>('/lease/revoke', {leaseId}),
    watch: (prefix, after, waitMs) =>
      call<StoreChanges>('/kv/watch', {prefix, after, waitMs}, waitMs),
    dispose: () => void agent.destroy(),
  };
}

function classify(error: unknown): StoreFailure {
  const code = (error as {code?: string}).code ?? '';
  return UNREACHABLE_CODES.includes(code)
    ? StoreFailure.Unreachable
    : StoreFailure.AnswerLost;
}
