import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  LogLevel,
  WorkflowMeter,
  createLineWriter,
  createLog,
  createWorkflowMeter,
} from '../../src/telemetry';

const LINE = `{"context":{"logLevel":30},"message":"${'x'.repeat(80)}"}`;
const WARNING = '{"context":{"logLevel":40},"message":"store lost"}';
const REFUSAL =
  '{"context":{"outcome":"refused","logLevel":30},"message":"submission"}';
const REQUEST_ID = '4534fa691ca74598';

let written: string[] = [];
let waiting = 0;
let reads = true;
let write: (line: string) => void;
let meter: WorkflowMeter;

function open(readerReads: boolean): void {
  written = [];
  waiting = 0;
  reads = readerReads;
  write = createLineWriter({
    write(text) {
      written.push(text);
      if (!reads) waiting += text.length;
    },
    getBufferedLength: () => waiting,
  });
}

Given('a log whose reader has stopped', () => open(false));

Given('a log with a reader that takes everything', () => open(true));

When(/^(\d+) lines? (?:are|is) written to it$/, (count: string) => {
  for (let index = 0; index < Number(count); index += 1) write(LINE);
});

Then('it holds at most {int} characters', (most: number) => {
  assert.ok(waiting > 0 && waiting <= most, String(waiting));
});

When('the reader takes all that waits', () => {
  waiting = 0;
  reads = true;
  // The budget of a second is spent, and the clock is paused.
  write(WARNING);
});

Then('the count of the lines that were dropped is told', () => {
  const told = written.filter(text => text.includes('log lines dropped'));
  assert.equal(told.length, 1);
  assert.ok(Number(/"count":(\d+)/.exec(told[0])?.[1]) > 0);
});

When('a warning and a refusal are written to it', () => {
  write(WARNING);
  write(REFUSAL);
});

Then(
  'at most {int} characters were written before the warning',
  (most: number) => {
    const end = written.findIndex(text => text.startsWith(WARNING));
    const before = written.slice(0, end).join('').length;
    assert.ok(end > 0 && before <= most, String(before));
  },
);

Then('the warning and the refusal were written', () => {
  assert.ok(written.includes(`${WARNING}\n`));
  assert.ok(written.includes(`${REFUSAL}\n`));
});

Given('an entry host with metrics', () => {
  meter = createWorkflowMeter();
});

When('it logs a refusal and an answered call of {int} ms', (ms: number) => {
  const log = meter.countLines(createLog({member: 'a'}, LogLevel.Info));
  const fields = {request: REQUEST_ID, decision: 'accept', outcome: 'refused'};
  log.info('submission', fields);
  meter.observeCall('store', 'transact', 'ok', ms);
});

Then(
  'its metrics count the refusal once and the call below {int} ms',
  async (ms: number) => {
    const text = await meter.render();
    assert.match(
      text,
      /workflow_decisions_total\{subject="submission",decision="accept",outcome="refused"\} 1/,
    );
    const bucket = `le="${ms / 1_000}",target="store",call="transact",outcome="ok"} 1`;
    assert.ok(text.includes(bucket), text);
  },
);

Then('no line of the metrics holds the id of the request', async () => {
  assert.ok(!(await meter.render()).includes(REQUEST_ID));
});
