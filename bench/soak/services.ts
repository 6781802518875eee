import {delay} from '../../src/state';
import {Caller} from './caller';
import {Submission, createService} from './submission';

/** Callers of services, which run until the load is over. */
export interface Services {
  /** Submits the services until each is accepted. */
  start(): void;
  /** Cancels the services. */
  stop(): void;
  dispose(): void;
}

/** Number of tasks that may be away, by service. */
const MAY_MISS = [1, 2];
/** First number of a service; far from those of other submissions. */
const FIRST_NUMBER = 1e9;
const RETRY_MS = 300;
const OK = 200;

/** Creates callers that submit nothing yet. */
export function createServices(
  caller: Caller,
  entryCount: number,
  submissions: Map<string, Submission>,
): Services {
  let disposed = false;

  /** Repeats a call, at one entry host after the other, until it has succeeded. */
  async function call(method: string, {path, body}: Submission): Promise<void> {
    for (let attempt = 0; !disposed; attempt += 1) {
      const details = method === 'POST' ? {body} : {};
      const entry = attempt % entryCount;
      const {status} = await caller.call(entry, method, path, details);
      if (status === OK) return;
      await delay(RETRY_MS);
    }
  }

  async function submit(service: Submission): Promise<void> {
    submissions.set(service.id, service);
    service.maybeStored = true;
    await call('POST', service);
    service.acceptedAt = performance.now();
  }

  async function cancel(service: Submission): Promise<void> {
    service.cancelSentAt = performance.now();
    await call('DELETE', service);
    service.cancelledAt = performance.now();
    service.finalState = 'cancelled';
  }

  const services = MAY_MISS.map((mayMiss, index) =>
    createService(FIRST_NUMBER + index, mayMiss),
  );

  return {
    start: () => services.forEach(each => void submit(each)),
    stop: () => services.forEach(each => void cancel(each)),
    dispose() {
      disposed = true;
    },
  };
}
