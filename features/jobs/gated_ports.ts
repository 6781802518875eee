import {Result} from 'true-myth';
import {Store, StoreFailure, WorkerFailure, Workers} from '../../src/ports';
import {delay} from '../../src/state';

/** Faults on one leader's way to the store and the workers. */
export interface Gate {
  /** Stops the leader: calls neither leave nor return. */
  pause(): void;
  resume(): void;
  /** Answers of the next calls to workers that are lost after their effect. */
  lostAnswers: number;
  /** Time by which starts arrive late, in ms. */
  lateStartMs: number;
  /** Store answers that are lost after the write took effect. */
  lostWrites: number;
  /** Hosts that this leader's calls don't reach. */
  readonly unreachable: Set<string>;
}

/** Creates an open gate. */
export function createGate(): Gate & {pass(): Promise<void>} {
  let open: Promise<void> | undefined;
  let release = () => {};
  return {
    lostAnswers: 0,
    lateStartMs: 0,
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

/** Puts a gate before and after each call of a store. */
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

/** Puts a gate before and after each call of workers. */
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
        if (gate.lateStartMs <= TIMEOUT_MS) {
          await delay(gate.lateStartMs);
          return workers.startTask(host, start);
        }
        void delay(gate.lateStartMs).then(() => workers.startTask(host, start));
        await delay(TIMEOUT_MS);
        return Result.err(WorkerFailure.Silent);
      }),
    orderTask: (host, ...order) =>
      call(host.id, () => workers.orderTask(host, ...order)),
  };
}
