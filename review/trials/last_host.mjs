import {tmpdir} from 'node:os';
import {
  IS_CALM,
  delay,
  readState,
  runCase,
  submit,
} from '../stand_ins/deployment.mjs';

const OUTAGES = 4;
const OUTAGE_MS = 4_500;
/** Added to the ends of the leases: they run out during the outage. */
const LAPSE_MS = -60_000;

await runCase(
  tmpdir(),
  {entries: 1, workers: [{}, {}, {}]},
  async deployment => {
    const {record, store} = deployment;
    for (let outage = 1; outage <= OUTAGES; outage += 1) {
      if (!IS_CALM) {
        record('store goes down', {outage});
        store.goDown();
        await delay(OUTAGE_MS);
        store.comeBack(LAPSE_MS);
        record('store is back');
      }
      await delay(6_000);
      const {id} = await submit(deployment, 0, {count: 3, workMs: 500});
      await delay(4_000);
      const {state} = await readState(deployment, 0, id);
      if (state === 'completed') continue;
      return [`LOST: ${id} is ${state}: no entry host leads any more`];
    }
    return [];
  },
);
