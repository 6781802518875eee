import {spawnSync} from 'node:child_process';
import {
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {parseArgs} from 'node:util';
import {Fault} from './fault';
import {planCalm, planFaults} from './plan_faults';
import {createRandom} from './random';
import {SoakResult, runSoak} from './run';
import {shrinkFaults} from './shrink';
import {Check} from './verdict';

const MINUTE_MS = 60_000;

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    minutes: {type: 'string', default: '1'},
    entries: {type: 'string', default: '4'},
    faults: {type: 'string'},
    plant: {type: 'string', default: ''},
    shrink: {type: 'string', default: '0'},
  },
});
const seed = Number(values.seed);
const planted = readChecks(values.plant);
const faults = chooseFaults();
let disposeRunning = async () => {};
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.on(signal, () => {
    void disposeRunning().then(() => process.exit(1));
  });
}

build();
const {result, folder} = await play(faults, line => console.log(line));
const {violations, counts} = result;
const rssMb = Math.round(process.resourceUsage().maxRSS / 1_024);
console.log(JSON.stringify({seed, ...counts, soakMb: rssMb}));
if (violations.length === 0) {
  console.log('no promise broken');
  process.exit(0);
}
await keep(result);
process.exit(1);

function chooseFaults(): readonly Fault[] {
  if (values.faults) return JSON.parse(readFileSync(values.faults, 'utf8'));
  const random = createRandom(seed);
  // Planted faults are played alone, so that nothing excuses them.
  return planted.length > 0
    ? planCalm(random)
    : planFaults(random, Number(values.minutes) * MINUTE_MS);
}

function readChecks(text: string): readonly Check[] {
  if (text === 'all') return Object.values(Check);
  return Object.values(Check).filter(check => text.split(',').includes(check));
}

function build(): void {
  const {status} = spawnSync(process.execPath, ['scripts/build_platform.mjs']);
  if (status !== 0) throw new Error('scripts/build_platform.mjs failed');
}

/** Plays a list in a folder of its own, which is removed if nothing failed. */
async function play(
  list: readonly Fault[],
  progress: (line: string) => void,
): Promise<{result: SoakResult; folder: string}> {
  const folder = mkdtempSync(join(tmpdir(), `sesamefront-soak-${seed}-`));
  const result = await runSoak({
    ...{seed, faults: list, folder, planted, progress},
    entryCount: Number(values.entries),
    onStarted: dispose => (disposeRunning = dispose),
  });
  if (result.violations.length === 0) rmSync(folder, {recursive: true});
  return {result, folder};
}

/** Keeps what is needed to trace and repeat a failing run. */
async function keep({violations, history}: SoakResult): Promise<void> {
  const write = (name: string, value: object) =>
    writeFileSync(join(folder, name), `${JSON.stringify(value, null, 1)}\n`);
  mkdirSync(folder, {recursive: true});
  write('violations.json', violations);
  write('history.json', history);
  write('faults.json', faults);
  console.log(`${violations.length} promises broken; logs are in ${folder}`);
  console.log(`play it again: ${describe('faults.json')}`);
  const maxPlays = Number(values.shrink);
  if (maxPlays === 0) return;
  const checks = new Set(violations.map(({check}) => check));
  const shortest = await shrinkFaults(
    faults,
    async list => {
      const {result} = await play(list, () => {});
      const fails = result.violations.some(({check}) => checks.has(check));
      console.log(`${list.length} faults: ${fails ? 'fails' : 'holds'}`);
      return fails;
    },
    maxPlays,
  );
  write('shortest.json', shortest);
  console.log(`shortest list: ${shortest.length} of ${faults.length} faults`);
  console.log(`play it again: ${describe('shortest.json')}`);
}

function describe(file: string): string {
  const plant = values.plant === '' ? '' : ` --plant ${values.plant}`;
  return `npm run soak -- --seed ${seed} --faults ${join(folder, file)}${plant}`;
}
