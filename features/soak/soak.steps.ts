import assert from 'node:assert/strict';
import {ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {After, Then, When} from '@cucumber/cucumber';
import {Check} from '../../bench/soak/verdict';

const SOAK = ['--import', 'tsx', 'bench/soak/main.ts', '--discard'];

let soak: ChildProcess | undefined;
let output = '';
let exitCode: number | null = null;

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
