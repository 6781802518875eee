import {tmpdir} from 'node:os';
import {
  IS_CALM,
  delay,
  readState,
  runCase,
  submit,
} from '../stand_ins/deployment.mjs';

/** `contactMs`: nothing is near that ended longer ago. */
const CONTACT_MS = 3_000;

await runCase(
  tmpdir(),
  {entries: 2, workers: [{}, {}, {}, {}]},
  async deployment => {
    const {record, workers, events, now} = deployment;
    // A gang of two, each on a whole worker.
    const {id, status} = await submit(deployment, 0, {
      count: 2,
      workMs: 8_000,
      cpu: 16_000,
      gang: true,
    });
    if (status !== 200) throw new Error('not accepted');
    await delay(3_000);
    const worker = workers.find(each => each.listRuns().length > 0);
    if (!worker) throw new Error('the gang did not start');
    let calmFrom = 0;
    if (!IS_CALM) {
      record('worker drains', {worker: worker.id, runs: worker.listRuns()});
      worker.drain();
      await delay(5_000);
      await worker.leave();
      record('worker has left', {worker: worker.id});
      calmFrom = now() + CONTACT_MS;
    }
    await delay(30_000);
    const {state} = await readState(deployment, 1, id);
    // A gang that waits since before the calm time isn't counted.
    const alone = events.filter(
      ({kind, how, at}) =>
        kind === 'end' && how === 'alone' && at > calmFrom + CONTACT_MS,
    );
    record('result of the gang', {state, alone: alone.length});
    return alone.map(
      ({task, run, worker: at, at: when}) =>
        `GANG: ${task} run ${run} ended alone on ${at} at ${when} ms, with no impairment near`,
    );
  },
);
