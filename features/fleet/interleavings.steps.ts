import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {tickSync} from '../support/paused_clock';
import {
  InterleavingReport,
  REQUIRED_STATES,
  runInterleavings,
} from './interleavings';

let report: InterleavingReport;

When(
  '{int} interleavings of {int} steps run with seed {int} in the fleet model',
  {timeout: 60_000},
  async (runs: number, length: number, seed: number) => {
    report = await runInterleavings(runs, length, seed, tickSync);
  },
);

Then('every fleet history of the model is sound', () => {
  assert.deepEqual(report.findings, []);
});

Then('the interleavings drained, rebooted, lost and moved hosts', () => {
  for (const state of REQUIRED_STATES) assert.ok(report.states[state], state);
  assert.ok(report.reboots > 0);
  assert.ok(report.moves > 0);
});
