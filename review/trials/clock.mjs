import {tmpdir} from 'node:os';
import {performance} from 'node:perf_hooks';
import {
  IS_CALM,
  delay,
  readState,
  runCase,
  submit,
} from '../stand_ins/deployment.mjs';

const HOUR_MS = 3_600_000;
/** `finish_s` after the end of the traffic, and then 3 s. */
const FINISH_MS = 14_000;
const IDLE_MS = 3_000;

await runCase(
  tmpdir(),
  {entries: 2, workers: Array.from({length: 4}, () => ({upMs: HOUR_MS}))},
  async deployment => {
    const {record, workers} = deployment;
    const worker = workers[0];
    if (!IS_CALM) {
      record('worker crashes', {worker: worker.id});
      await worker.crash();
      await delay(2_000);
      await worker.restart();
      record('worker is back', {worker: worker.id});
    }
    // Longer than `contactMs`; the worker gets work again.
    await delay(5_000);
    // Eight tasks of half a worker fill all four.
    const {id, status} = await submit(deployment, 0, {
      count: 8,
      workMs: 3_000,
      cpu: 8_000,
    });
    if (status !== 200) throw new Error('not accepted');
    await delay(1_000);
    if (worker.listRuns().length === 0) throw new Error('worker got no task');
    if (!IS_CALM) {
      record('worker is lost for good', {
        worker: worker.id,
        runs: worker.listRuns(),
      });
      await worker.crash();
    }
    await delay(FINISH_MS);
    const broken = [];
    const idleSince = performance.now();
    let runs = [];
    while (performance.now() < idleSince + IDLE_MS && runs.length === 0) {
      runs = workers.flatMap(each => each.listRuns());
      await delay(50);
    }
    const before = await readState(deployment, 0, id);
    if (before.state !== 'completed' && runs.length === 0) {
      broken.push(
        `LOST: ${id} is accepted and shown as ${before.state}, and has had nothing running for 3 s, ${FINISH_MS / 1_000} s after the end of the traffic, while three workers are empty`,
      );
    }
    // Told for the record only: whether it is ever done.
    await delay(IS_CALM ? 0 : 30_000);
    await readState(deployment, 1, id);
    return broken;
  },
);
