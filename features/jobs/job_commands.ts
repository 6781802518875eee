import fc from 'fast-check';
import {JobHistory, checkJobHistory} from '../../src/history/jobs';
import {advance, settle} from '../support/paused_clock';
import {JobPool, POOL_NAME} from './job_pool';

/** Expected state of the pool: the jobs that it has accepted. */
export interface JobModel {
  readonly accepted: {id: string; idempotent: boolean}[];
}

type JobCommand = fc.AsyncCommand<JobModel, JobPool>;

const MAX_LEADERS = 4;
/** Violations that must not occur at any time, even while jobs are running. */
const IMMEDIATE_VIOLATIONS: ReadonlySet<string> = new Set([
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
      checkImmediateViolations(pool.readHistory(model.accepted));
    },
    toString: () => name,
  };
}

/** Throws if a history shows a violation that must not occur at any time. */
export function checkImmediateViolations(history: JobHistory): void {
  const found = checkJobHistory(history).filter(({kind}) =>
    IMMEDIATE_VIOLATIONS.has(kind),
  );
  if (found.length > 0) throw new Error(JSON.stringify(found, null, 1));
}

const index = fc.nat({max: 9});

/**
 * Commands that submit and cancel jobs, advance the clock and inject faults.
 */
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
            pool.api.submit({
              service: POOL_NAME,
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
        await settle(pool.api.cancel(POOL_NAME, job.id));
      },
      model => model.accepted.length > 0,
    ),
  ),
  fc
    .integer({min: 100, max: 15_000})
    .map(ms => createCommand(`advance ${ms} ms`, () => advance(ms))),
  fc.constant(
    createCommand('add a leader', (_, pool) => {
      if (pool.leaders.length < MAX_LEADERS) pool.addLeader();
    }),
  ),
  fc.constant(
    createCommand('pause the leader and add another', (_, pool) => {
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
    createCommand('crash the leader and add another', (_, pool) => {
      if (pool.leaders.length >= MAX_LEADERS) return;
      pool.leaders.at(-1)?.dispose();
      pool.addLeader();
    }),
  ),
  fc.constant(
    createCommand('resign the leader and add another', (_, pool) => {
      if (pool.leaders.length >= MAX_LEADERS) return;
      pool.leaders.at(-1)?.resign();
      pool.addLeader();
    }),
  ),
  fc.record({i: index, crashed: fc.boolean()}).map(({i, crashed}) =>
    createCommand(`set worker ${i} crashed to ${crashed}`, (_, pool) => {
      pool.workers[i % pool.workers.length].faults.crashed = crashed;
    }),
  ),
  index.map(i =>
    createCommand(`reboot worker ${i}`, (_, pool) => {
      const worker = pool.workers[i % pool.workers.length];
      if (worker.isUp()) worker.reboot();
    }),
  ),
  fc.record({i: index, w: index, cut: fc.boolean()}).map(({i, w, cut}) =>
    createCommand(
      `set leader ${i} cut off from worker ${w} to ${cut}`,
      (_, pool) => {
        const {unreachable} = pool.leaders[i % pool.leaders.length].gate;
        const {id} = pool.hosts[w % pool.hosts.length];
        if (cut) unreachable.add(id);
        else unreachable.delete(id);
      },
    ),
  ),
  fc.integer({min: 1, max: 5}).map(lost =>
    createCommand(`lose ${lost} worker answers`, (_, pool) => {
      pool.leaders.at(-1)!.gate.lostAnswers += lost;
    }),
  ),
  fc.integer({min: 1, max: 5}).map(lost =>
    createCommand(`lose ${lost} store answers`, (_, pool) => {
      pool.leaders.at(-1)!.gate.lostWrites += lost;
    }),
  ),
  fc.constantFrom(0, 500, 1_500, 4_000, 20_000).map(ms =>
    createCommand(`delay task starts by ${ms} ms`, (_, pool) => {
      pool.leaders.at(-1)!.gate.startDelayMs = ms;
    }),
  ),
  fc.boolean().map(down =>
    createCommand(`set store down to ${down}`, (_, pool) => {
      pool.storeFaults.down = down;
    }),
  ),
];
