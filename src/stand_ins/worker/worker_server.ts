import {IncomingMessage, ServerResponse, createServer} from 'node:http';
import {AddressInfo, Socket} from 'node:net';
import {Result} from 'true-myth';
import {readBody, readJson, sendJson} from '../../http/shared';
import {PoolFence, TaskOrder, TaskStart, WorkerFailure} from '../../ports';
import {delay} from '../../state';
import {WorkerModel} from './worker_model';

/** A running HTTP server of a simulated worker. */
export interface WorkerServer {
  readonly model: WorkerModel;
  readonly port: number;
  dispose(): Promise<void>;
}

/** Work time of a request without a "work-ms" header, in ms. */
const DEFAULT_WORK_MS = 5;
const MAX_BODY_BYTES = 64 * 1024 * 1024;

/**
 * Starts an HTTP server for a simulated worker on its host's address.
 *
 * @param model the worker
 * @param port TCP port; 0 selects a free one
 */
export async function createWorkerServer(
  model: WorkerModel,
  port: number,
): Promise<WorkerServer> {
  const silentSockets = new WeakSet<Socket>();
  const sockets = new Set<Socket>();

  async function route(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = request.url ?? '/';
    if (url === '/control/faults') {
      Object.assign(model.faults, await readJson(request, MAX_BODY_BYTES));
      if (model.faults.silentConnections) {
        for (const socket of sockets) {
          if (socket !== request.socket) silentSockets.add(socket);
        }
        model.faults.silentConnections = false;
      }
      return sendJson(response, 200, model.faults);
    }
    if (url === '/control/runs') {
      return sendJson(response, 200, {
        runs: model.runs,
        slotsPeak: model.slotsPeak,
      });
    }
    if (url === '/control/leaving') {
      const body = await readJson<{leaving: boolean}>(request, MAX_BODY_BYTES);
      model.setLeaving(body.leaving);
      return sendJson(response, 200, {});
    }
    if (silentSockets.has(request.socket)) return;
    if (!model.isUp()) return void request.socket.destroy();
    if (url.startsWith('/requests/')) {
      return handleRequest(model, request, response);
    }
    return handleControlCall(model, url, request, response);
  }

  const server = createServer((request, response) => {
    route(request, response).catch((error: Error) => {
      if (response.headersSent) response.destroy();
      else sendJson(response, 400, {error: error.message});
    });
  });
  server.on('connection', socket => {
    if (!model.isUp()) {
      socket.destroy();
      return;
    }
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise<void>(resolve =>
    server.listen(port, model.host.address, resolve),
  );

  return {
    model,
    port: (server.address() as AddressInfo).port,
    dispose: () =>
      new Promise(resolve => {
        model.dispose();
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

async function handleRequest(
  model: WorkerModel,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const requestId = String(request.headers['request-id'] ?? '');
  const key = request.headers['idempotency-key'] as string | undefined;
  const started = model.startRequest(requestId, key);
  if (started.isErr) {
    response.setHeader('worker-refusal', started.error);
    return sendJson(response, 503, {refused: started.error});
  }
  const finish = started.value;
  response.on('close', () => finish(response.writableFinished));
  const body = await readBody(request, MAX_BODY_BYTES);
  const workMs = Number(request.headers['work-ms'] ?? DEFAULT_WORK_MS);
  await delay(workMs + model.faults.slowMs);
  if (!model.isUp()) return void request.socket.destroy();
  const answer = Buffer.from(
    JSON.stringify({
      requestId,
      worker: model.host.id,
      path: request.url,
      body: body.toString(),
    }),
  );
  response.writeHead(model.faults.failAll ? 500 : 200, {
    'content-type': 'application/json',
    'content-length': answer.length,
    'request-id': requestId,
  });
  if (model.faults.truncate) {
    response.write(answer.subarray(0, answer.length / 2));
    setImmediate(() => request.socket.destroy());
    return;
  }
  response.end(answer);
}

async function handleControlCall(
  model: WorkerModel,
  url: string,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  if (url === '/report' && request.method === 'GET') {
    return sendJson(response, 200, model.report());
  }
  const body = await readJson<Record<string, unknown>>(request, MAX_BODY_BYTES);
  if (url === '/report') {
    return sendResult(
      response,
      model.renewAndReport(body as unknown as PoolFence),
    );
  }
  if (url === '/tasks') {
    const started = model.startTask(body as unknown as TaskStart);
    return sendResult(response, started);
  }
  if (url === '/tasks/order') {
    const {jobId, attempt, term, order} = body as {
      jobId: string;
      attempt: number;
      term: number;
      order: TaskOrder;
    };
    return sendResult(response, model.orderTask(jobId, attempt, term, order));
  }
  if (url === '/draining') {
    model.setDraining(body.draining === true);
    return sendJson(response, 200, {});
  }
  if (url === '/reboot') {
    sendJson(response, 200, {});
    const {bootNumber} = body;
    model.reboot(typeof bootNumber === 'number' ? bootNumber : undefined);
    return;
  }
  sendJson(response, 404, {error: `no route ${url}`});
}

function sendResult<T>(
  response: ServerResponse,
  result: Result<T, WorkerFailure>,
): void {
  if (result.isOk) return sendJson(response, 200, result.value);
  response.setHeader('worker-refusal', result.error);
  sendJson(response, 503, {refused: result.error});
}
