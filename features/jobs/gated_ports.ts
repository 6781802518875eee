import {Result} from 'true-myth';
import {Store, StoreFailure, WorkerFailure, Workers} from '../../src/ports';
import {delay} from '../../src/state';

/** Faults injected between one leader and its store and workers. */
export interface Gate {
  /** Holds back all calls and answers of the leader until `resume`. */
  pause(): void;
  resume(): void;
  /**
   * Number of next calls to workers that take effect but whose answers are
   * lost.
   */
  lostAnswers: number;
  /** Delay of task starts in ms. */
  startDelayMs: number;
  /**
   * Number of next store writes that take effect but whose answers are lost.
   */
  lostWrites: number;
  /** IDs of the hosts that this leader cannot reach. */
  readonly unreachable: Set<string>;
}

/** Creates a gate without faults; `pass` resolves once the gate is open. */
export function createGate(): Gate & {pass(): Promise<void>} {
  let open: Promise<void> | undefined;
  let release = () => {};
  return {
    lostAnswers: 0,
    startDelayMs: 0,
    lostWrites: 0,
    unreachable: new Set(),
    pause() {
      open ??= new Promise(resolve => {
        release = resolve;
      });
    },
    resume() {
      release();
      open = undefined;
    },
    pass: async () => open,
  };
}

/** Wraps a store so that each call waits for the gate before and after it. */
export function gateStore(
  store: Store,
  gate: ReturnType<typeof createGate>,
): Store {
  async function call<T>(run: () => Promise<T>): Promise<T> {
    await gate.pass();
    const answer = await run();
    await gate.pass();
    return answer;
  }
  return {
    ...store,
    get: key => call(() => store.get(key)),
    list: prefix => call(() => store.list(prefix)),
    watch: (prefix, after, waitMs) =>
      call(() => store.watch(prefix, after, waitMs)),
    swap: swap =>
      call(async () => {
        const answer = await store.swap(swap);
        if (gate.lostWrites <= 0) return answer;
        gate.lostWrites -= 1;
        return Result.err(StoreFailure.AnswerLost);
      }),
  };
}

const TIMEOUT_MS = 1_000;

/** Wraps workers so that each call waits for the gate before and after it. */
export function gateWorkers(
  workers: Workers,
  gate: ReturnType<typeof createGate>,
): Workers {
  async function call<T>(
    hostId: string,
    run: () => Promise<Result<T, WorkerFailure>>,
  ): Promise<Result<T, WorkerFailure>> {
    await gate.pass();
    if (gate.unreachable.has(hostId)) {
      await delay(TIMEOUT_MS);
      return Result.err(WorkerFailure.Silent);
    }
    const answer = await run();
    await gate.pass();
    if (gate.lostAnswers <= 0) return answer;
    gate.lostAnswers -= 1;
    await delay(TIMEOUT_MS);
    return Result.err(WorkerFailure.Silent);
  }
  return {
    ...workers,
    report: (host, fence) => call(host.id, () => workers.report(host, fence)),
    startTask: (host, start) =>
      call(host.id, async () => {
        if (gate.startDelayMs <= TIMEOUT_MS) {
          await delay(gate.startDelayMs);
          return workers.startTask(host, start);
        }
        void delay(gate.startDelayMs).then(() =>
          workers.startTask(host, start),
        );
        await delay(TIMEOUT_MS);
        return Result.err(WorkerFailure.Silent);
      }),
    orderTask: (host, ...order) =>
      call(host.id, () => workers.orderTask(host, ...order)),
  };
}
