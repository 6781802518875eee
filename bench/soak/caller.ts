import {Agent, request} from 'node:http';
import {Entry} from './entry';
import {AUTHORITY, CallEnd} from './submission';

/** A call to an entry host, as its caller saw it. */
export interface CallRecord {
  readonly entry: number;
  /** Number of the entry host's process at the start and end of the call. */
  readonly incarnations: readonly [number, number];
  /** Whether a process served when the call was sent. */
  readonly served: boolean;
  /** Whether no fault was active near the call. */
  readonly calm: boolean;
  /** Monotonic times in ms. */
  readonly sentAt: number;
  readonly endedAt: number;
  readonly end: CallEnd;
  /** 0 without an answer. */
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
  readonly retryAfterMs: number;
}

/** Calls entry hosts over connections that stay open until they break. */
export interface Caller {
  call(
    entry: number,
    method: string,
    path: string,
    options?: {readonly body?: string; readonly key?: string},
  ): Promise<CallRecord>;
  dispose(): void;
}

/** Options of a caller. */
export interface CallerOptions {
  /** Addresses of the entry hosts by index. */
  readonly addresses: readonly string[];
  readonly getProcess: (
    entry: number,
  ) => Pick<Entry, 'incarnation' | 'isServing'>;
  /** Returns whether no fault was active near a span of time. */
  readonly isCalm: (fromMs: number, toMs: number) => boolean;
  /** Called with each call that has ended; may replace it. */
  readonly onCall: (record: CallRecord) => CallRecord;
}

/** Time in ms for which callers wait for an answer. */
const DEADLINE_MS = 4_000;
const MAX_CONNECTIONS = 8;

/** Creates a caller of all entry hosts. */
export function createCaller({
  addresses,
  getProcess,
  isCalm,
  onCall,
}: CallerOptions): Caller {
  const agents = addresses.map(
    () => new Agent({keepAlive: true, maxSockets: MAX_CONNECTIONS}),
  );

  return {
    call: (entry, method, path, {body, key} = {}) =>
      new Promise(resolve => {
        const [host, port] = addresses[entry].split(':');
        const before = getProcess(entry).incarnation;
        const served = getProcess(entry).isServing();
        const sentAt = performance.now();
        const chunks: Buffer[] = [];
        let finished = false;

        function finish(end: CallEnd, status = 0, retryAfterMs = 0): void {
          if (finished) return;
          finished = true;
          clearTimeout(timer);
          const endedAt = performance.now();
          resolve(
            onCall({
              entry,
              incarnations: [before, getProcess(entry).incarnation],
              served,
              sentAt,
              endedAt,
              calm: isCalm(sentAt, endedAt),
              end,
              status,
              body: end === CallEnd.Answered ? parse(chunks) : {},
              retryAfterMs,
            }),
          );
        }

        const outgoing = request({
          agent: agents[entry],
          ...{host, port, method, path},
          headers: {
            host: AUTHORITY,
            'content-type': 'application/json',
            'x-deadline-ms': DEADLINE_MS,
            ...(key === undefined ? {} : {authorization: `Bearer ${key}`}),
          },
        });
        const timer = setTimeout(() => {
          finish(CallEnd.TimedOut);
          outgoing.destroy();
        }, DEADLINE_MS);
        outgoing.on('error', () => finish(CallEnd.Cut));
        outgoing.on('response', response => {
          const retryAfterMs =
            Number(response.headers['retry-after'] ?? 0) * 1_000;
          response.on('data', chunk => chunks.push(chunk));
          response.on('error', () => finish(CallEnd.Cut));
          response.on('end', () =>
            finish(CallEnd.Answered, response.statusCode, retryAfterMs),
          );
        });
        outgoing.end(body);
      }),
    dispose() {
      for (const agent of agents) agent.destroy();
    },
  };
}

function parse(chunks: readonly Buffer[]): CallRecord['body'] {
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8'));
  } catch {
    return {};
  }
}
