import {Result} from 'true-myth';
import {Agent, request} from 'undici';
import {z} from 'zod';
import {
  decode,
  storeChangesFormat,
  storeEntryFormat,
  storeListingFormat,
  swapResultFormat,
  transactionResultFormat,
} from '../../formats';
import {Store, StoreFailure} from '../../ports';
import {readJson} from '../shared';
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
/** Maximum length of an answer in bytes. */
const MAX_ANSWER_BYTES = 134_217_728;
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
    format: z.ZodType<T>,
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
      const answer = await readJson(response.body, MAX_ANSWER_BYTES, () =>
        deadline.extend(options.timeoutMs),
      );
      if (response.statusCode === 200) return readAnswer(format, answer);
      urlIndex += 1;
      return Result.err(classifyStatus(response.statusCode));
    } catch (error) {
      urlIndex += 1;
      if ((error as Error | undefined)?.name === 'TimeoutError')
        replaceConnections(usedAgent);
      return Result.err(classifyError(error));
    } finally {
      deadline.clear();
    }
  }

  return {
    get: key => call('/kv/get', {key}, storeEntryFormat),
    list: prefix => call('/kv/list', {prefix}, storeListingFormat),
    swap: swap => call('/kv/swap', {swap}, swapResultFormat),
    transact: transaction =>
      call(
        '/kv/transact',
        {
          transaction: {
            ...transaction,
            conditions: [...transaction.conditions],
          },
        },
        transactionResultFormat,
      ),
    grantLease: lengthMs => call('/lease/grant', {lengthMs}, z.string().min(1)),
    renewLease: leaseId => call('/lease/renew', {leaseId}, z.boolean()),
    revokeLease: leaseId => call('/lease/revoke', {leaseId}, z.any()),
    watch: (prefix, after, waitMs) =>
      call('/kv/watch', {prefix, after, waitMs}, storeChangesFormat, waitMs),
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

/** Returns the value of an answer; one of another format counts as lost. */
function readAnswer<T>(
  format: z.ZodType<T>,
  answer: unknown,
): Result<T, StoreFailure> {
  const decoded = decode(format, (answer as {value?: unknown} | null)?.value);
  return decoded.mapErr(() => StoreFailure.AnswerLost);
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
  const code = (error as {code?: string} | undefined)?.code ?? '';
  return UNREACHABLE_CODES.includes(code)
    ? StoreFailure.Unreachable
    : StoreFailure.AnswerLost;
}
