import {Readable} from 'node:stream';
import {Result} from 'true-myth';
import {Workers, WorkerFailure, WorkerRequest} from '../../ports';
import {delay} from '../../state';
import {Host} from '../../types';
import {WorkerModel} from './worker_model';

/** Work time of a request without a "work-ms" header, in ms. */
const DEFAULT_WORK_MS = 5;

/**
 * Creates a worker port that calls workers in the same process, for tests.
 *
 * @param models workers by host id
 */
export function createMemoryWorkers(
  models: ReadonlyMap<string, WorkerModel>,
): Workers {
  function find(host: Host): Result<WorkerModel, WorkerFailure> {
    const model = models.get(host.id);
    if (!model?.isUp()) return Result.err(WorkerFailure.ConnectFailed);
    return Result.ok(model);
  }

  return {
    async send(host, request) {
      const found = find(host);
      if (found.isErr) return Result.err(found.error);
      const model = found.value;
      const key = request.headers['idempotency-key'];
      const started = model.startRequest(request.requestId, key as string);
      if (started.isErr) return Result.err(started.error);
      const boot = model.report().bootNumber;
      const workMs = getWorkMs(request) + model.faults.slowMs;
      const {timeoutMs, silenceMs = timeoutMs} = request;
      await delay(Math.min(workMs, silenceMs));
      if (silenceMs < workMs) {
        started.value(false);
        return Result.err(WorkerFailure.Silent);
      }
      const survived = model.isUp() && model.report().bootNumber === boot;
      started.value(survived);
      if (!survived) return Result.err(WorkerFailure.ConnectionLost);
      const status = model.faults.failAll ? 500 : 200;
      return Result.ok({
        status,
        headers: {'request-id': request.requestId},
        whole: true,
        body: Readable.from([
          Buffer.from(
            JSON.stringify({requestId: request.requestId, worker: host.id}),
          ),
        ]),
      });
    },
    report: async (host, fence) =>
      find(host).andThen(model =>
        fence ? model.renewAndReport(fence) : Result.ok(model.report()),
      ),
    startTask: async (host, start) =>
      find(host).andThen(model => model.startTask(start)),
    orderTask: async (host, jobId, attempt, term, order) =>
      find(host).andThen(model => model.orderTask(jobId, attempt, term, order)),
    setDraining: async (host, draining) =>
      find(host).map(model => model.setDraining(draining)),
    reboot: async (host, bootNumber) =>
      find(host).map(model => model.reboot(bootNumber)),
    dispose: () => {},
  };
}

function getWorkMs(request: WorkerRequest): number {
  const header = request.headers['work-ms'];
  return header === undefined ? DEFAULT_WORK_MS : Number(header);
}
