import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {CapLog, createCapLog} from '../../src/actors/workflows/cap_log';
import {
  OTHER_ORGANISATIONS,
  OrganisationGauge,
  WorkflowRecord,
  createOrganisationUsage,
  createWorkflowRecord,
  getGroup,
  readOrganisationGauges,
} from '../../src/decisions/workflows';
import {
  LogContext,
  WorkflowMeter,
  createWorkflowMeter,
} from '../../src/telemetry';
import {advance} from '../support/paused_clock';
import {QUEUE, createStep} from './workflow_world';

const NOW = 100_000;

let records = new Map<string, WorkflowRecord>();
let usage = createOrganisationUsage();
let meter: WorkflowMeter;
let text = '';
let gauges: readonly OrganisationGauge[] = [];
let capLog: CapLog;
let lines: LogContext[] = [];

function addWorkflow(
  organisation: string,
  acceptedAt: number,
  taskCount: number,
): WorkflowRecord {
  const id = String(records.size).padStart(16, '0');
  const workflow = {
    id,
    queue: QUEUE.name,
    organisation,
    pool: QUEUE.pool,
    priority: 0,
    maxAttempts: 3,
    stretch: 1.6,
    targetDurationMs: 600,
    acceptedAt,
    spec: '',
    steps: [createStep({taskCount})],
    occurrences: 1,
    firstAt: 0,
    intervalMs: 0,
  };
  const record = createWorkflowRecord(workflow, undefined, {}, 0);
  records.set(id, record);
  return record;
}

Given(
  '{int} organisations of which number {int} waits longest and number {int} has most running',
  (count: number, waiting: number, running: number) => {
    records = new Map();
    usage = createOrganisationUsage();
    for (let index = 0; index < count; index += 1) {
      const name = `organisation-${index}`;
      addWorkflow(name, index === waiting ? 1 : NOW - 1_000 + index, 1);
      const record = addWorkflow(name, NOW, index === running ? 40 : 2);
      for (const task of getGroup(record, 0, 0)) usage.add(task);
    }
  },
);

When('the metrics of the leader are read', async () => {
  meter = createWorkflowMeter();
  gauges = readOrganisationGauges(records, usage, NOW);
  meter.setOrganisationReader(() => gauges);
  text = await meter.render();
});

function listLabels(): ReadonlySet<string> {
  const labels = text.matchAll(/open_workflows\{organisation="(.*?)"\}/g);
  return new Set([...labels].map(([, label]) => label));
}

Then('they name at most {int} organisations', (limit: number) => {
  assert.ok(listLabels().size > 1);
  assert.ok(listLabels().size <= limit);
});

Then(
  'they name number {int}, number {int} and the sum of the others',
  (first: number, second: number) => {
    assert.ok(listLabels().has(`organisation-${first}`));
    assert.ok(listLabels().has(`organisation-${second}`));
    assert.ok(listLabels().has(OTHER_ORGANISATIONS));
  },
);

Then('no workflow is missing from the sums', () => {
  const sum = gauges.reduce((total, gauge) => total + gauge.openWorkflows, 0);
  assert.equal(sum, records.size);
});

Given('a log of caps', () => {
  lines = [];
  capLog = createCapLog({
    debug: () => {},
    info: (message, fields) => {
      assert.equal(message, 'cap');
      lines.push(fields ?? {});
    },
    warn: () => {},
    error: () => {},
  });
});

When(
  '{int} organisations are held {int} times each within {int} ms',
  async (count: number, times: number, ms: number) => {
    for (let time = 0; time < times; time += 1) {
      for (let index = 0; index < count; index += 1) {
        capLog.record({
          organisation: `organisation-${index}`,
          request: '0000000000000001',
          waiting: 3,
          size: {cpuMillis: 2_000, memoryMb: 1, accelerators: 0},
          used: {cpuMillis: 9_000, memoryMb: 9, accelerators: 0},
          cap: {cpuMillis: 10_000, memoryMb: 0, accelerators: 0},
        });
      }
    }
    await advance(ms);
  },
);

Then(
  '{int} lines name an organisation with what it uses and its cap',
  (count: number) => {
    assert.equal(lines.length, count);
    for (const {organisation, used, cap} of lines) {
      assert.match(String(organisation), /organisation-/);
      assert.equal(used, '9000 9 0');
      assert.equal(cap, '10000 0 0');
    }
  },
);
