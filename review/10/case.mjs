// Machines are added one after the other, and for each a wave is declared a
// moment later.
import {dirname} from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
  BROKEN,
  HELD,
  NOT_RUN,
  TROUBLE,
  runCase,
  startDeployment,
} from '../stand_ins_2/deployment.mjs';

/** Workers at first; one more is a share of 0.2. */
const WORKERS = 5;
const MACHINES = 3;
/** Time from a machine's worker being up to its wave. */
const WAVE_AFTER_MS = TROUBLE ? 500 : 5_000;
const DURATION_S = 20;
/** Time after the end of a wave for which its machine is watched. */
const AFTER_MS = 5_000;
const POLL_MS = 50;

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({record, onEnd}) => {
    const deployment = await startDeployment({
      record,
      onEnd,
      services: [{name: 'desk', count: WORKERS}],
      routes: [
        {
          name: 'q-desk',
          host: 'queues.example',
          prefix: '/desk/',
          service: 'desk',
        },
      ],
      getWork: () => ({ms: 500, cpu: 1_000}),
    });
    const {store, machines} = deployment;
    /** Times of the upkeep orders, by wave. */
    const begun = new Map();
    machines.onOrder = ({path, wave}) => {
      if (path === '/-/machine-upkeep') begun.set(wave, performance.now());
    };
    let early = 0;
    let completed = 0;
    for (let wave = 1; wave <= MACHINES; wave += 1) {
      const {machine} = await deployment.addWorker('desk');
      await delay(WAVE_AFTER_MS);
      const request = {
        wave,
        machines: [machine],
        durationS: DURATION_S,
        cap: 1,
      };
      store.put(`op/wave/${wave}`, request);
      record('wave declared', request);
      const until = performance.now() + DURATION_S * 1_000;
      let state;
      while (state !== 'completed' && performance.now() < until) {
        state = store.read(`status/wave/${wave}`)
          ? JSON.parse(store.read(`status/wave/${wave}`)).state
          : undefined;
        await delay(POLL_MS);
      }
      const isBegun = begun.has(wave);
      record('wave', {wave, machine, state, upkeepHasBegun: isBegun});
      if (state === 'completed') completed += 1;
      if (state === 'completed' && !isBegun) early += 1;
      await delay(AFTER_MS);
      record('later', {wave, machine, upkeepHasBegun: begun.has(wave)});
    }
    const words = `${completed} of ${MACHINES} waves said to be completed, ${early} of them before their machine has begun its upkeep; ${begun.size} upkeeps begun in all`;
    if (!TROUBLE && completed < MACHINES) {
      return {result: NOT_RUN, words: `without trouble: ${words}`};
    }
    return {result: early > 0 ? BROKEN : HELD, words};
  },
);
