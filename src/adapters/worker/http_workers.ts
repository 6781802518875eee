import {Readable} from 'node:stream';
import {Result} from 'true-myth';
import {Pool} from 'undici';
import {
  TaskReport,
  WorkerFailure,
  WorkerReport,
  WorkerResponse,
  Workers,
} from '../../ports';
import {Host} from '../../types';

/** Limits of the calls to workers. */
export interface HttpWorkersOptions {
  /** Connections that this entry host opens to one worker for requests. */
  readonly connectionsPerWorker: number;
  /** Time limit of a control call in ms. */
  readonly controlTimeoutMs: number;
  /** Time limit of connecting in ms. */
  readonly connectTimeoutMs: number;
}

interface Connections {
  readonly requests: Pool;
  readonly control: Pool;
}

const UNSENT_CODES: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
];

const SILENT_CODES: readonly string[] = [
  'UND_ERR_HEADERS_TIMEOUT',
  'UND_ERR_BODY_TIMEOUT',
];

/**
 * Creates calls to workers over HTTP.
 *
 * @param options limits
 * @returns the calls, which their owner disposes
 */
export function createHttpWorkers(options: HttpWorkersOptions): Workers {
  const connections = new Map<string, Connections>();

  function connect(host: Host): Connections {
    const origin = `http://${host.address}:${host.port}`;
    const known = connections.get(origin);
    if (known) return known;
    const connect = {timeout: options.connectTimeoutMs};
    const created = {
      requests: new Pool(origin, {
        connections: options.connectionsPerWorker,
        pipelining: 1,
        connect,
      }),
      control: new Pool(origin, {connections: 1, connect}),
    };
    connections.set(origin, created);
    return created;
  }

  async function control<T>(
    host: Host,
    method: 'GET' | 'POST',
    path: string,
    body?: object,
  ): Promise<Result<T, WorkerFailure>> {
    try {
      const response = await connect(host).control.request({
        method,
        path,
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(options.controlTimeoutMs),
      });
      const answer = await response.body.json();
      if (response.statusCode === 200) return Result.ok(answer as T);
      return Result.err(readRefusal(response.headers['worker-refusal']));
    } catch (error) {
      return Result.err(classify(error));
    }
  }

  return {
    async send(host, request) {
      try {
        const response = await connect(host).requests.request({
          method: request.method as 'GET',
          path: request.path,
          headers: {...request.headers, 'request-id': request.requestId},
          body: request.body,
          signal: request.signal,
          headersTimeout: request.timeoutMs,
          bodyTimeout: request.timeoutMs,
        });
        const refusal = response.headers['worker-refusal'];
        if (refusal !== undefined) {
          await response.body.dump();
          return Result.err(readRefusal(refusal));
        }
        if (response.headers['request-id'] !== request.requestId) {
          response.body.destroy();
          return Result.err(WorkerFailure.Mismatched);
        }
        return Result.ok<WorkerResponse, WorkerFailure>({
          status: response.statusCode,
          headers: response.headers,
          body: response.body as Readable,
        });
      } catch (error) {
        return Result.err(classify(error));
      }
    },
    report: (host, fence) =>
      fence
        ? control<WorkerReport>(host, 'POST', '/report', fence)
        : control<WorkerReport>(host, 'GET', '/report'),
    startTask: (host, start) =>
      control<TaskReport>(host, 'POST', '/tasks', start),
    orderTask: (host, jobId, attempt, term, order) =>
      control<TaskReport>(host, 'POST', '/tasks/order', {
        jobId,
        attempt,
        term,
        order,
      }),
    setDraining: (host, draining) =>
      control<void>(host, 'POST', '/draining', {draining}),
    reboot: (host, bootNumber) =>
      control<void>(host, 'POST', '/reboot', {bootNumber}),
    dispose() {
      for (const {requests, control} of connections.values()) {
        void requests.destroy();
        void control.destroy();
      }
      connections.clear();
    },
  };
}

function readRefusal(header: string | string[] | undefined): WorkerFailure {
  const known = Object.values(WorkerFailure).find(value => value === header);
  return known ?? WorkerFailure.ConnectionLost;
}

function classify(error: unknown): WorkerFailure {
  const {code = '', name = ''} = error as {code?: string; name?: string};
  if (UNSENT_CODES.includes(code)) return WorkerFailure.ConnectFailed;
  if (SILENT_CODES.includes(code)) return WorkerFailure.Silent;
  if (name === 'TimeoutError') return WorkerFailure.Silent;
  if (name === 'AbortError') return WorkerFailure.Cancelled;
  return WorkerFailure.ConnectionLost;
}
