import {Readable, finished} from 'node:stream';
import {Result} from 'true-myth';
import {Dispatcher} from 'undici';
import {WorkerFailure, WorkerRequest, WorkerResponse} from '../../ports';
import {AttemptTimer, createAttemptTimer} from './attempt_timer';
import {classifyError, parseRefusal} from './classify_error';
import {AcquiredConnection, RequestConnections} from './request_connections';

/** Maximum response body that is buffered before it is passed on, in bytes. */
const MAX_BUFFERED_BYTES = 65_536;

/**
 * Sends a request to a worker.
 *
 * A short response is buffered, so that a truncated one is reported as a
 * failure. A long response is streamed, and its connection is released when it
 * ends.
 *
 * @param connections connections to the worker
 * @param request the request
 */
export async function sendRequest(
  connections: RequestConnections,
  request: WorkerRequest,
): Promise<Result<WorkerResponse, WorkerFailure>> {
  const connection = connections.acquire(request.freshConnection === true);
  if (!connection) return Result.err(WorkerFailure.Busy);
  const {timeoutMs, silenceMs: firstByteTimeoutMs = timeoutMs} = request;
  const timer = createAttemptTimer(
    timeoutMs,
    firstByteTimeoutMs,
    request.signal,
  );
  const result = await exchange(connection, request, timer);
  if (result.isOk && !result.value.whole) {
    finished(result.value.body, () => release(connection, timer, undefined));
    return result;
  }
  release(connection, timer, result.isErr ? result.error : undefined);
  return result;
}

async function exchange(
  {dispatcher}: AcquiredConnection,
  request: WorkerRequest,
  timer: AttemptTimer,
): Promise<Result<WorkerResponse, WorkerFailure>> {
  try {
    const response = await dispatcher.request({
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: {...request.headers, 'request-id': request.requestId},
      body: request.body,
      signal: timer.signal,
    });
    timer.stopFirstByteTimer();
    return await readAnswer(response, request, timer);
  } catch (error) {
    return Result.err(
      timer.isTimedOut() ? WorkerFailure.Silent : classifyError(error),
    );
  }
}

async function readAnswer(
  response: Dispatcher.ResponseData,
  request: WorkerRequest,
  timer: AttemptTimer,
): Promise<Result<WorkerResponse, WorkerFailure>> {
  const refusal = response.headers['worker-refusal'];
  if (refusal !== undefined) {
    await response.body.dump();
    return Result.err(parseRefusal(refusal));
  }
  if (response.headers['request-id'] !== request.requestId) {
    response.body.on('error', () => {}).destroy();
    return Result.err(WorkerFailure.Mismatched);
  }
  const answer = {status: response.statusCode, headers: response.headers};
  if (!isBuffered(response)) {
    const body: Readable = response.body;
    return Result.ok({...answer, body});
  }
  try {
    const bytes = Buffer.from(await response.body.arrayBuffer());
    const body = Readable.from([bytes], {objectMode: false});
    return Result.ok({...answer, body, whole: true});
  } catch {
    if (timer.isTimedOut()) return Result.err(WorkerFailure.Silent);
    const cancelled = request.signal?.aborted === true;
    return Result.err(
      cancelled ? WorkerFailure.Cancelled : WorkerFailure.Truncated,
    );
  }
}

function isBuffered({headers}: Dispatcher.ResponseData): boolean {
  return Number(headers['content-length'] ?? Infinity) <= MAX_BUFFERED_BYTES;
}

/**
 * Stops the timeouts and releases the connection. A connection on which a
 * timeout expired is invalidated.
 */
function release(
  connection: AcquiredConnection,
  timer: AttemptTimer,
  failure: WorkerFailure | undefined,
): void {
  timer.dispose();
  if (failure === WorkerFailure.Silent) connection.invalidate();
  else connection.release();
}
