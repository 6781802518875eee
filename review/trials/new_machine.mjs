import {tmpdir} from 'node:os';
import {IS_CALM, delay, runCase} from '../stand_ins/deployment.mjs';
import {createGangs, createWorker} from '../stand_ins/worker.mjs';

await runCase(
  tmpdir(),
  {entries: 2, workers: [{}, {}, {}]},
  async ({record, store, workers}) => {
    const worker = createWorker({
      id: 'i-9',
      machine: 'm-9',
      service: 'desk',
      host: '127.0.0.1',
      store,
      record,
      gangs: createGangs(),
    });
    await worker.start();
    workers.push(worker);
    record('machine is added', {machine: worker.machine});
    // The list of machines is read every 2 s at least.
    await delay(IS_CALM ? 5_000 : 1_000);
    store.write('op/wave/1', {
      wave: 1,
      machines: [worker.machine],
      durationS: 20,
      cap: 1,
    });
    await delay(4_000);
    const {state} = store.read('status/wave/1') ?? {};
    record('status of the wave', {state});
    // The stand-in refuses every upkeep as busy, so none has begun.
    if (state !== 'completed') return [];
    return ['MIXED: the wave is said to be completed, and no upkeep has begun'];
  },
);
