import {spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {parseArgs} from 'node:util';
import {FaultList, readFaultList, readRegressions} from './fault_list';
import {planCalm, planFaults} from './plan_faults';
import {planOutages} from './plan_outages';
import {createRandom} from './random';
import {SoakResult, runSoak} from './run';
import {shrinkFaults} from './shrink';
import {HOST_COUNT} from './site';
import {Check} from './verdict';

const MINUTE_MS = 60_000;

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    minutes: {type: 'string', default: '1'},
    entries: {type: 'string', default: '4'},
    hosts: {type: 'string', default: `${HOST_COUNT}`},
    faults: {type: 'string'},
    plant: {type: 'string', default: ''},
    shrink: {type: 'string', default: '0'},
    regressions: {type: 'boolean', default: false},
    discard: {type: 'boolean', default: false},
  },
});
const planted = Object.values(Check).filter(
  check => values.plant === 'all' || values.plant.split(',').includes(check),
);
let disposeRunning = async () => {};
// Each process listens for the end of this one.
process.setMaxListeners(0);
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.on(signal, () => {
    void disposeRunning().then(() => process.exit(1));
  });
}

const {status} = spawnSync(process.execPath, ['scripts/build_platform.mjs']);
if (status !== 0) throw new Error('scripts/build_platform.mjs failed');
let failures = 0;
for (const list of values.regressions ? readRegressions() : [chooseList()]) {
  const {result, folder} = await play(list, line => console.log(line));
  const soakMb = Math.round(process.resourceUsage().maxRSS / 1_024);
  console.log(JSON.stringify({seed: list.seed, ...result.counts, soakMb}));
  if (result.violations.length === 0) {
    console.log('no promise broken');
  } else {
    failures += 1;
    if (!values.discard) await keep(list, result, folder);
  }
  if (values.discard) rmSync(folder, {recursive: true, force: true});
}
process.exit(failures === 0 ? 0 : 1);

function chooseList(): FaultList {
  if (values.faults) return readFaultList(values.faults);
  const seed = Number(values.seed);
  const random = createRandom(seed);
  // Planted faults are played alone, so that nothing excuses them.
  if (planted.length > 0) return {seed, cause: '', faults: planCalm(random)};
  const durationMs = Number(values.minutes) * MINUTE_MS;
  const storms = planFaults(random, durationMs);
  const outages = planOutages(random, durationMs, Number(values.hosts));
  return {seed, cause: '', faults: [...storms, ...outages]};
}

/** Plays a list in a folder of its own, which is removed if nothing failed. */
async function play(
  {seed, faults}: FaultList,
  progress: (line: string) => void,
): Promise<{result: SoakResult; folder: string}> {
  const folder = mkdtempSync(join(tmpdir(), `sesamefront-soak-${seed}-`));
  const result = await runSoak({
    ...{seed, faults, folder, planted, progress},
    entryCount: Number(values.entries),
    hostCount: Number(values.hosts),
    onStarted(dispose) {
      disposeRunning = async () => {
        await dispose();
        rmSync(folder, {recursive: true, force: true});
      };
    },
  });
  if (result.violations.length === 0) rmSync(folder, {recursive: true});
  return {result, folder};
}

/** Keeps what is needed to trace and repeat a failing run. */
async function keep(
  list: FaultList,
  {violations, history}: SoakResult,
  folder: string,
): Promise<void> {
  const write = (name: string, value: object) =>
    writeFileSync(join(folder, name), `${JSON.stringify(value, null, 1)}\n`);
  const describe = (name: string) =>
    `npm run soak -- --faults ${join(folder, name)}` +
    (values.plant === '' ? '' : ` --plant ${values.plant}`);
  write('violations.json', violations);
  write('history.json', history);
  write('faults.json', list);
  console.log(`${violations.length} promises broken; logs are in ${folder}`);
  console.log(`play it again: ${describe('faults.json')}`);
  const maxPlays = Number(values.shrink);
  if (maxPlays === 0) return;
  const checks = new Set(violations.map(({check}) => check));

  async function fails(faults: FaultList['faults']): Promise<boolean> {
    const {result, folder: trial} = await play({...list, faults}, () => {});
    rmSync(trial, {recursive: true, force: true});
    const failed = result.violations.some(({check}) => checks.has(check));
    console.log(`${faults.length} faults: ${failed ? 'fails' : 'holds'}`);
    return failed;
  }

  const shortest = await shrinkFaults(list.faults, fails, maxPlays);
  write('shortest.json', {...list, faults: shortest});
  console.log(`shortest list: ${shortest.length} of ${list.faults.length}`);
  console.log(`play it again: ${describe('shortest.json')}`);
}
