import assert from 'node:assert/strict';
import {ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {Fault} from '../../bench/soak/fault';
import {planCalm} from '../../bench/soak/plan_faults';
import {createRandom} from '../../bench/soak/random';
import {shrinkFaults} from '../../bench/soak/shrink';
import {Check} from '../../bench/soak/verdict';

const SOAK = [
  ...['--import', 'tsx', 'bench/soak/main.ts'],
  ...['--entries', '3', '--discard'],
];

let soak: ChildProcess | undefined;
let output = '';
let exitCode: number | null = null;
let faults: readonly Fault[] = [];
let causes: readonly Fault[] = [];
let shortest: readonly Fault[] = [];

After({tags: '@real-clock'}, () => {
  // The soak ends its own processes.
  if (soak?.exitCode === null) soak.kill('SIGTERM');
  soak = undefined;
});

When(
  'the soak plays seed {int} with {float} minutes of faults',
  (seed: number, minutes: number) =>
    playSoak(['--seed', String(seed), '--minutes', String(minutes)]),
);

When(
  'the soak plays seed {int} with a planted fault for each check',
  (seed: number) => playSoak(['--seed', String(seed), '--plant', 'all']),
);

Then('the soak finds no broken promise', () => {
  assert.equal(exitCode, 0, output);
});

Then('each check of the soak has found a broken promise', () => {
  const silent = Object.values(Check).filter(
    check => !output.includes(` ms: ${check}: `),
  );
  assert.deepEqual(silent, [], output);
});

Given(
  'a list of {int} faults that fails because of the faults {int} and {int}',
  (count: number, first: number, second: number) => {
    const random = createRandom(count);
    faults = Array.from({length: count}, () => planCalm(random)[0]);
    causes = [faults[first - 1], faults[second - 1]];
  },
);

When(
  'the soak searches the shortest list that still fails with {int} plays',
  async (plays: number) => {
    const fails = async (list: readonly Fault[]) =>
      causes.every(cause => list.includes(cause));
    shortest = await shrinkFaults(faults, fails, plays);
  },
);

Then(
  'the shortest list has the faults {int} and {int} only',
  (first: number, second: number) => {
    assert.deepEqual(shortest, [faults[first - 1], faults[second - 1]]);
  },
);

async function playSoak(args: readonly string[]): Promise<void> {
  output = '';
  const child = spawn(process.execPath, [...SOAK, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  soak = child;
  for (const stream of [child.stdout, child.stderr]) {
    stream.on('data', (chunk: Buffer) => (output += chunk.toString()));
  }
  [exitCode] = await once(child, 'exit');
}
