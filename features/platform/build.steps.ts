import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {
  chmodSync,
  existsSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  statSync,
  utimesSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {delimiter, join} from 'node:path';
import {After, Given, Then, When} from '@cucumber/cucumber';

/** Builds only with usable modules, as the bundler does. */
const BUILD_SCRIPT = `
import {existsSync} from 'node:fs';
if (!existsSync('node_modules/usable')) process.exit(1);
`;
const INSTALL = 'mkdir -p node_modules && touch node_modules/usable';

let checkout: string | undefined;
let status: number | null = null;

After(() => {
  if (checkout) rmSync(checkout, {recursive: true});
  checkout = undefined;
});

/** Creates a checkout with a stand-in for npm that counts its calls. */
function createCheckout(install: string): string {
  const folder = mkdtempSync(join(tmpdir(), 'sesamefront-build-'));
  checkout = folder;
  for (const name of ['bin', 'scripts']) mkdirSync(join(folder, name));
  writeFileSync(join(folder, 'scripts/build_platform.mjs'), BUILD_SCRIPT);
  writeFileSync(join(folder, 'package-lock.json'), '{}');
  const npm = join(folder, 'bin/npm');
  writeFileSync(npm, `#!/bin/sh\necho >> installs\n${install}\n`);
  chmodSync(npm, 0o755);
  return folder;
}

/** Adds modules that are newer than the list of versions by the given time. */
function addModules(folder: string, usable: boolean, newerS: number): void {
  const modules = join(folder, 'node_modules');
  mkdirSync(modules);
  if (usable) writeFileSync(join(modules, 'usable'), '');
  const {mtimeMs} = statSync(join(folder, 'package-lock.json'));
  const at = mtimeMs / 1_000 + newerS;
  utimesSync(modules, at, at);
}

Given('a checkout whose modules are missing', () => {
  createCheckout(INSTALL);
});

Given('a checkout whose modules are of this kind of processor', () =>
  addModules(createCheckout(INSTALL), true, 60),
);

Given('a checkout whose modules are of another kind of processor', () =>
  addModules(createCheckout(INSTALL), false, 60),
);

Given(
  'a checkout whose modules are older than the list of their versions',
  () => addModules(createCheckout(INSTALL), true, -60),
);

Given("a checkout whose modules can't be installed", () => {
  createCheckout('exit 1');
});

When('the build of the deploy file runs', () => {
  const deployFile = readFileSync('deploy/system.toml', 'utf8');
  const build = /^build = "(.*)"$/m.exec(deployFile)?.[1];
  assert.ok(build);
  const path = `${join(checkout ?? '', 'bin')}${delimiter}${process.env.PATH}`;
  ({status} = spawnSync('sh', ['-c', build], {
    cwd: checkout,
    // Options of the test's own Node name modules that the checkout lacks.
    env: {...process.env, NODE_OPTIONS: '', PATH: path},
  }));
});

Then(/^it succeeds after (\d+) installs?$/, (installs: string) => {
  assert.equal(status, 0);
  const record = join(checkout ?? '', 'installs');
  const lines = existsSync(record) ? readFileSync(record, 'utf8').length : 0;
  assert.equal(lines, Number(installs));
});

Then('it fails', () => assert.notEqual(status, 0));

When('the program is built from this checkout', () => {
  checkout = mkdtempSync(join(tmpdir(), 'sesamefront-build-'));
  const program = join(checkout, 'entry.cjs');
  const words = ['scripts/build_platform.mjs', program];
  assert.equal(spawnSync(process.execPath, words).status, 0);
});

Then('it holds the commit of this checkout', () => {
  const {stdout} = spawnSync('git', ['rev-parse', '--short=12', 'HEAD']);
  const commit = stdout.toString().trim();
  const program = readFileSync(join(checkout ?? '', 'entry.cjs'), 'utf8');
  assert.match(program, new RegExp(`"${commit}(-dirty)?"`));
});
