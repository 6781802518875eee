// Runs formatter, linter, type and import checks, then every feature; ends with "N passed, N failed".
import {spawnSync} from 'node:child_process';
import {existsSync, mkdirSync, readFileSync} from 'node:fs';

const MESSAGES = 'dist/test-messages.ndjson';

function run(command, args, env = {}) {
  const {status} = spawnSync(command, args, {
    stdio: 'inherit',
    env: {...process.env, ...env},
  });
  return status === 0;
}

/** Counts scenarios by their worst step. */
function countScenarios() {
  const failedCases = new Set();
  const finished = new Set();
  for (const line of readFileSync(MESSAGES, 'utf8').split('\n')) {
    if (line === '') continue;
    const {testStepFinished, testCaseFinished} = JSON.parse(line);
    if (testStepFinished) {
      const {status} = testStepFinished.testStepResult;
      if (status !== 'PASSED')
        failedCases.add(testStepFinished.testCaseStartedId);
    }
    if (testCaseFinished && !testCaseFinished.willBeRetried) {
      finished.add(testCaseFinished.testCaseStartedId);
    }
  }
  const failed = [...finished].filter(id => failedCases.has(id)).length;
  return {passed: finished.size - failed, failed};
}

if (!existsSync('node_modules')) {
  if (!run('npm', ['ci', '--no-audit', '--no-fund'])) process.exit(1);
}
const checked = run('npm', ['run', '--silent', 'check']);
mkdirSync('dist', {recursive: true});
const tested = run(
  process.execPath,
  [
    '--import',
    'tsx',
    'node_modules/@cucumber/cucumber/bin/cucumber.js',
    ...process.argv.slice(2),
  ],
  {CUCUMBER_PUBLISH_QUIET: 'true', NODE_OPTIONS: '--import tsx'},
);
if (existsSync('KNOWN-RED.txt')) {
  console.log('known failures, not run:');
  console.log(readFileSync('KNOWN-RED.txt', 'utf8'));
}
const {passed, failed} = countScenarios();
if (!checked)
  console.log('the checks of formatter, linter, types or imports failed');
console.log(`${passed} passed, ${failed} failed`);
process.exit(checked && tested && passed > 0 && failed === 0 ? 0 : 1);
