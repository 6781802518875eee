import {Result} from 'true-myth';
import {Agent, request} from 'undici';
import {
  Store,
  StoreChanges,
  StoreEntry,
  StoreFailure,
  StoreListing,
  SwapResult,
  TransactionResult,
} from '../../ports';
import {createProgressDeadline} from './progress_deadline';

/** Addresses of the key-value service and timeout of its calls. */
export interface HttpStoreOptions {
  /** Base URLs of the service; the next one is used after a failure. */
  readonly urls: readonly string[];
  /**
   * Time in ms until an answer must begin, in addition to the wait of a watch,
   * and maximum pause within its transfer.
   */
  readonly timeoutMs: number;
}

const MAX_CONNECTIONS = 16;
/** Time after which an idle connection is closed, in ms. */
const IDLE_TIMEOUT_MS = 5_000;
const UNREACHABLE_CODES: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
];

/**
 * Creates a client of the key-value service over HTTP.
 *
 * @param options addresses and timeout
 * @returns the store, which the caller must dispose
 */
export function createHttpStore(options: HttpStoreOptions): Store {
  let agent = createAgent(options.timeoutMs);
  let urlIndex = 0;

  /**
   * Replaces all connections after a call has timed out, because an
   * unresponsive connection is seldom the only one.
   *
   * The old connections are destroyed after the timeout of a call, by which
   * time their open calls have ended. Open watches, which wait longer, are
   * aborted.
   */
  function replaceConnections(unresponsiveAgent: Agent): void {
    if (unresponsiveAgent !== agent) return;
    agent = createAgent(options.timeoutMs);
    const timer = setTimeout(
      () => void unresponsiveAgent.destroy(),
      options.timeoutMs,
    );
    timer.unref?.();
  }

  async function call<T>(
    path: string,
    body: object,
    waitMs = 0,
  ): Promise<Result<T, StoreFailure>> {
    const url = options.urls[urlIndex % options.urls.length];
    const usedAgent = agent;
    const deadline = createProgressDeadline(options.timeoutMs + waitMs);
    try {
      const response = await request(`${url}${path}`, {
        method: 'POST',
        dispatcher: usedAgent,
        body: JSON.stringify(body),
        headers: {'content-type': 'application/json'},
        signal: deadline.signal,
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      const chunks: Buffer[] = [];
      for await (const chunk of response.body) {
        chunks.push(chunk as Buffer);
        deadline.extend(options.timeoutMs);
      }
      const text = Buffer.concat(chunks).toString('utf8');
      const answer = JSON.parse(text) as {value: T};
      if (response.statusCode === 200) return Result.ok(answer.value);
      urlIndex += 1;
      return Result.err(classifyStatus(response.statusCode));
    } catch (error) {
      urlIndex += 1;
      if ((error as Error).name === 'TimeoutError')
        replaceConnections(usedAgent);
      return Result.err(classifyError(error));
    } finally {
      deadline.clear();
    }
  }

  return {
    get: key => call<StoreEntry | undefined>('/kv/get', {key}),
    list: prefix => call<StoreListing>('/kv/list', {prefix}),
    swap: swap => call<SwapResult>('/kv/swap', {swap}),
    transact: transaction =>
      call<TransactionResult>('/kv/transact', {
        transaction: {
          ...transaction,
          conditions: [...transaction.conditions],
        },
      }),
    grantLease: lengthMs => call<string>('/lease/grant', {lengthMs}),
    renewLease: leaseId => call<boolean>('/lease/renew', {leaseId}),
    revokeLease: leaseId => call<void>('/lease/revoke', {leaseId}),
    watch: (prefix, after, waitMs) =>
      call<StoreChanges>('/kv/watch', {prefix, after, waitMs}, waitMs),
    dispose: () => void agent.destroy(),
  };
}

function createAgent(connectTimeout: number): Agent {
  return new Agent({
    connections: MAX_CONNECTIONS,
    connectTimeout,
    keepAliveTimeout: IDLE_TIMEOUT_MS,
  });
}

/**
 * Returns the failure for an HTTP status.
 *
 * A call certainly took no effect only if the service itself refused it: with a
 * 503 or a status below 500. After any other error its effect is unknown.
 */
function classifyStatus(status: number): StoreFailure {
  if (status === 503) return StoreFailure.Unreachable;
  return status < 500 ? StoreFailure.Rejected : StoreFailure.AnswerLost;
}

function classifyError(error: unknown): StoreFailure {
  const code = (error as {code?: string}).code ?? '';
  return UNREACHABLE_CODES.includes(code)
    ? StoreFailure.Unreachable
    : StoreFailure.AnswerLost;
}
