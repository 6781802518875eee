import {Result} from 'true-myth';
import {WorkerFailure, Workers} from '../../ports';

/**
 * Ensures that a streamed request body is sent to at most one worker.
 *
 * A stream that an attempt has read from can't be sent again in full, so later
 * attempts fail with Cancelled, which leaves the request's outcome unknown.
 *
 * @param workers the decorated calls to workers
 */
export function createSingleUseWorkers(workers: Workers): Workers {
  const sentBodies = new WeakSet<object>();

  return {
    ...workers,
    async send(host, request) {
      const {body} = request;
      if (Buffer.isBuffer(body)) return workers.send(host, request);
      if (sentBodies.has(body) || body.destroyed) {
        return Result.err(WorkerFailure.Cancelled);
      }
      sentBodies.add(body);
      return workers.send(host, request);
    },
  };
}
