import {Result} from 'true-myth';
import {Pool} from 'undici';
import {z} from 'zod';
import {decode, taskReportFormat, workerReportFormat} from '../../formats';
import {WorkerFailure, Workers} from '../../ports';
import {Host} from '../../types';
import {readJson} from '../shared';
import {classifyError, parseRefusal} from './classify_error';
import {
  RequestConnections,
  createRequestConnections,
} from './request_connections';
import {sendRequest} from './send_request';

/** Connection limit and timeouts of the calls to workers. */
export interface HttpWorkersOptions {
  /** Maximum number of connections to one worker for requests. */
  readonly connectionsPerWorker: number;
  /** Timeout of a control call in ms. */
  readonly controlTimeoutMs: number;
  /** Timeout for opening a connection, in ms. */
  readonly connectTimeoutMs: number;
}

/** Maximum length of the answer to a control call in bytes. */
const MAX_ANSWER_BYTES = 33_554_432;

/** Connections to one worker. Control calls have a connection of their own. */
interface Connections {
  readonly requests: RequestConnections;
  readonly control: Pool;
}

/**
 * Creates an HTTP client for calls to workers.
 *
 * @param options connection limit and timeouts
 * @returns the client, which the caller must dispose
 */
export function createHttpWorkers(options: HttpWorkersOptions): Workers {
  const connections = new Map<string, Connections>();

  function connect(host: Host): Connections {
    const origin = `http://${host.address}:${host.port}`;
    const existing = connections.get(origin);
    if (existing) return existing;
    const {connectTimeoutMs, connectionsPerWorker} = options;
    const created = {
      requests: createRequestConnections({
        origin,
        maxConnections: connectionsPerWorker,
        connectTimeoutMs,
      }),
      control: new Pool(origin, {
        connections: 1,
        connect: {timeout: connectTimeoutMs},
      }),
    };
    connections.set(origin, created);
    return created;
  }

  async function control<T>(
    host: Host,
    method: 'GET' | 'POST',
    path: string,
    format: z.ZodType<T>,
    body?: object,
  ): Promise<Result<T, WorkerFailure>> {
    try {
      const response = await connect(host).control.request({
        method,
        path,
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(options.controlTimeoutMs),
      });
      const answer = await readJson(response.body, MAX_ANSWER_BYTES);
      if (response.statusCode === 200) {
        const decoded = decode(format, answer);
        return decoded.mapErr(() => WorkerFailure.ConnectionLost);
      }
      return Result.err(parseRefusal(response.headers['worker-refusal']));
    } catch (error) {
      return Result.err(classifyError(error));
    }
  }

  return {
    async send(host, request) {
      try {
        return await sendRequest(connect(host).requests, request);
      } catch (error) {
        return Result.err(classifyError(error));
      }
    },
    report: (host, fence) =>
      fence
        ? control(host, 'POST', '/report', workerReportFormat, fence)
        : control(host, 'GET', '/report', workerReportFormat),
    startTask: (host, start) =>
      control(host, 'POST', '/tasks', taskReportFormat, start),
    orderTask: (host, jobId, attempt, term, order) =>
      control(host, 'POST', '/tasks/order', taskReportFormat, {
        jobId,
        attempt,
        term,
        order,
      }),
    setDraining: (host, draining) =>
      control<void>(host, 'POST', '/draining', z.any(), {draining}),
    reboot: (host, bootNumber) =>
      control<void>(host, 'POST', '/reboot', z.any(), {bootNumber}),
    dispose() {
      for (const {requests, control} of connections.values()) {
        requests.dispose();
        void control.destroy();
      }
      connections.clear();
    },
  };
}
