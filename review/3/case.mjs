import {performance} from 'node:perf_hooks';
import {findDoubleRuns} from '../stand_ins/checks.mjs';
import {
  IS_CALM,
  delay,
  readState,
  runCase,
  submit,
} from '../stand_ins/deployment.mjs';

const OUTAGE_MS = 4_000;
const MAX_WAIT_MS = 25_000;

await runCase(
  import.meta.dirname,
  {entries: 2, workers: Array.from({length: 8}, () => ({}))},
  async deployment => {
    const {record, workers, store, events} = deployment;
    const worker = workers[0];

    /** Hands in tasks of half a worker for each half worker. */
    async function fill(workMs) {
      const {id, status} = await submit(deployment, 0, {
        count: 2 * workers.length,
        workMs,
        cpu: 8_000,
      });
      if (status !== 200) throw new Error('not accepted');
      return id;
    }

    /** Waits for the end of a submission; a break of the rule may delay it. */
    async function waitForEnd(id) {
      const until = performance.now() + MAX_WAIT_MS;
      while (performance.now() < until) {
        const {state} = await readState(deployment, 1, id);
        if (state === 'completed') return;
        await delay(500);
      }
      record('not completed', {id, waitedMs: MAX_WAIT_MS});
    }

    for (let round = 0; round < 8; round += 1)
      await waitForEnd(await fill(200));
    // A short and a long task on each worker.
    const short = await submit(deployment, 0, {
      count: workers.length,
      workMs: 2_000,
      cpu: 8_000,
      maxPerServer: 1,
    });
    const long = await submit(deployment, 0, {
      count: workers.length,
      workMs: 9_000,
      cpu: 8_000,
      maxPerServer: 1,
    });
    await delay(1_000);
    record('tasks', {worker: worker.id, runs: worker.listRuns()});
    if (worker.listRuns().length !== 2) throw new Error('not as planned');
    if (!IS_CALM) {
      record('store goes down');
      store.goDown();
      await delay(1_500);
      record('worker crashes', {worker: worker.id});
      await worker.crash();
      await delay(500);
      await worker.restart();
      record('worker is back', {worker: worker.id});
      await delay(OUTAGE_MS - 2_000);
      store.comeBack(OUTAGE_MS);
      record('store is back');
      await delay(3_000);
    }
    await waitForEnd(short.id);
    await waitForEnd(long.id);
    return findDoubleRuns(events);
  },
);
