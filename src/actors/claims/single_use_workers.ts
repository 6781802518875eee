import {Result} from 'true-myth';
import {WorkerFailure, Workers} from '../../ports';

/**
 * Makes sure that a streamed body is sent to one worker only.
 *
 * A stream that a first attempt has read from can't be sent whole again, so a
 * second attempt ends here; what is known of the first one stays unknown.
 *
 * @param workers the calls to workers
 */
export function createSingleUseWorkers(workers: Workers): Workers {
  const used = new WeakSet<object>();

  return {
    ...workers,
    async send(host, request) {
      const {body} = request;
      if (Buffer.isBuffer(body)) return workers.send(host, request);
      if (used.has(body) || body.destroyed) {
        return Result.err(WorkerFailure.Cancelled);
      }
      used.add(body);
      return workers.send(host, request);
    },
  };
}
