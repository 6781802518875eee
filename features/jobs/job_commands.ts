import fc from 'fast-check';
import {JobHistory, checkJobHistory} from '../../src/history/jobs';
import {advance, settle} from '../support/paused_clock';
import {JobPool, POOL} from './job_pool';

/** What a correct pool must remember: the accepted jobs. */
export interface JobModel {
  readonly accepted: {id: string; idempotent: boolean}[];
}

type JobCommand = fc.AsyncCommand<JobModel, JobPool>;

const MAX_LEADERS = 4;
/** Violations that may not be seen at any moment, not only at the end. */
const ALWAYS: ReadonlySet<string> = new Set([
  'overlap',
  'ran-again',
  'attempt-repeated',
  'false-done',
  'lost',
  'unknown',
]);

function createCommand(
  name: string,
  run: (model: JobModel, pool: JobPool) => Promise<void> | void,
  isAllowed: (model: Readonly<JobModel>) => boolean = () => true,
): JobCommand {
  return {
    check: isAllowed,
    async run(model, pool) {
      await run(model, pool);
      checkNow(pool.readHistory(model.accepted));
    },
    toString: () => name,
  };
}

/** Fails on anything that no moment of a history may show. */
export function checkNow(history: JobHistory): void {
  const found = checkJobHistory(history).filter(({kind}) => ALWAYS.has(kind));
  if (found.length > 0) throw new Error(JSON.stringify(found, null, 1));
}

const index = fc.nat({max: 9});

/** Commands that submit, cancel, let time pass and cause every kind of fault. */
export const JOB_COMMANDS: readonly fc.Arbitrary<JobCommand>[] = [
  fc
    .record({
      idempotent: fc.boolean(),
      workMs: fc.integer({min: 200, max: 20_000}),
      fails: fc.boolean(),
    })
    .map(({idempotent, workMs, fails}) =>
      createCommand(
        `submit ${idempotent ? 'idempotent' : 'once'} ${workMs} ms`,
        async (model, pool) => {
          const input = `work-ms=${workMs}${fails && workMs < 2_000 ? ' always-fails' : ''}`;
          const submitted = await settle(
            pool.calls.submit({
              service: POOL,
              team: '',
              idempotent,
              size: {slots: 1, processors: 1, memoryMb: 256, accelerators: 0},
              runTimeMs: workMs,
              dueAt: Date.now() + 60_000,
              input,
            }),
          );
          if (submitted.isErr) return;
          model.accepted.push({id: submitted.value.id, idempotent});
        },
      ),
    ),
  index.map(i =>
    createCommand(
      `cancel ${i}`,
      async (model, pool) => {
        const job = model.accepted[i % model.accepted.length];
        await settle(pool.calls.cancel(POOL, job.id));
      },
      model => model.accepted.length > 0,
    ),
  ),
  fc
    .integer({min: 100, max: 15_000})
    .map(ms => createCommand(`advance ${ms} ms`, () => advance(ms))),
  fc.constant(
    createCommand('take over', (_, pool) => {
      if (pool.leaders.length < MAX_LEADERS) pool.addLeader();
    }),
  ),
  fc.constant(
    createCommand('pause the leader and take over', (_, pool) => {
      pool.leaders.at(-1)?.gate.pause();
      if (pool.leaders.length < MAX_LEADERS) pool.addLeader();
    }),
  ),
  index.map(i =>
    createCommand(`resume leader ${i}`, (_, pool) => {
      pool.leaders[i % pool.leaders.length].gate.resume();
    }),
  ),
  fc.constant(
    createCommand('crash the leader and take over', (_, pool) => {
      if (pool.leaders.length >= MAX_LEADERS) return;
      pool.leaders.at(-1)?.dispose();
      pool.addLeader();
    }),
  ),
  fc.constant(
    createCommand('leader resigns and another takes over', (_, pool) => {
      if (pool.leaders.length >= MAX_LEADERS) return;
      pool.leaders.at(-1)?.resign();
      pool.addLeader();
    }),
  ),
  fc.record({i: index, crashed: fc.boolean()}).map(({i, crashed}) =>
    createCommand(`worker ${i} unreachable ${crashed}`, (_, pool) => {
      pool.workers[i % pool.workers.length].faults.crashed = crashed;
    }),
  ),
  index.map(i =>
    createCommand(`worker ${i} reboots`, (_, pool) => {
      const worker = pool.workers[i % pool.workers.length];
      if (worker.isUp()) worker.reboot();
    }),
  ),
  fc.record({i: index, w: index, cut: fc.boolean()}).map(({i, w, cut}) =>
    createCommand(`leader ${i} cut from worker ${w} ${cut}`, (_, pool) => {
      const {unreachable} = pool.leaders[i % pool.leaders.length].gate;
      const {id} = pool.hosts[w % pool.hosts.length];
      if (cut) unreachable.add(id);
      else unreachable.delete(id);
    }),
  ),
  fc.integer({min: 1, max: 5}).map(lost =>
    createCommand(`${lost} worker answers lost`, (_, pool) => {
      pool.leaders.at(-1)!.gate.lostAnswers += lost;
    }),
  ),
  fc.integer({min: 1, max: 5}).map(lost =>
    createCommand(`${lost} store answers lost`, (_, pool) => {
      pool.leaders.at(-1)!.gate.lostWrites += lost;
    }),
  ),
  fc.constantFrom(0, 500, 1_500, 4_000, 20_000).map(ms =>
    createCommand(`starts arrive ${ms} ms late`, (_, pool) => {
      pool.leaders.at(-1)!.gate.lateStartMs = ms;
    }),
  ),
  fc.boolean().map(down =>
    createCommand(`store down ${down}`, (_, pool) => {
      pool.storeFaults.down = down;
    }),
  ),
];
