import {tmpdir} from 'node:os';
import {
  IS_CALM,
  delay,
  readState,
  runCase,
  submit,
} from '../stand_ins/deployment.mjs';

await runCase(
  tmpdir(),
  {entries: 3, workers: [{}, {}, {}]},
  async deployment => {
    const {record, workers} = deployment;
    for (const worker of IS_CALM ? [] : workers) {
      record('worker restarts at another port', {worker: worker.id});
      await worker.crash();
      await delay(1_500);
      await worker.restart(true);
      await delay(3_000);
    }
    await delay(5_000);
    const {id} = await submit(deployment, 0, {count: 3, workMs: 500});
    await delay(24_000);
    const {state} = await readState(deployment, 1, id);
    if (state === 'completed') return [];
    return [`LOST: ${id} is ${state} after 24 s, and all workers are empty`];
  },
);
