import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  LogLevel,
  WorkflowMeter,
  createLineWriter,
  createLog,
  createUnexpectedErrors,
  createWorkflowMeter,
  setLogSink,
} from '../../src/telemetry';

const LINE = `{"context":{"logLevel":30},"message":"${'x'.repeat(80)}"}`;
const WARNING = '{"context":{"logLevel":40},"message":"store lost"}';
const REFUSAL =
  '{"context":{"outcome":"refused","logLevel":30},"message":"submission"}';
const POOL_LOAD = '{"context":{"pool":"a","logLevel":30},"message":"pool"}';
const REQUEST_ID = '4534fa691ca74598';

let written: string[] = [];
let bufferedLength = 0;
let isReading = true;
let write: (line: string) => void;
let meter: WorkflowMeter;

function openLog(readerReads: boolean): void {
  written = [];
  bufferedLength = 0;
  isReading = readerReads;
  write = createLineWriter({
    write(text) {
      written.push(text);
      if (!isReading) bufferedLength += text.length;
    },
    getBufferedLength: () => bufferedLength,
  });
}

Given('a log whose reader has stopped', () => openLog(false));

Given('a log whose reader reads everything', () => openLog(true));

When(/^(\d+) lines? (?:are|is) written to it$/, (count: string) => {
  for (let index = 0; index < Number(count); index += 1) write(LINE);
});

Then('it buffers at most {int} characters', (maxLength: number) => {
  assert.ok(
    bufferedLength > 0 && bufferedLength <= maxLength,
    String(bufferedLength),
  );
});

When('the reader reads everything in the buffer', () => {
  bufferedLength = 0;
  isReading = true;
  // A warning, since other lines would still exceed the log budget: while the
  // clock is paused, the budget is not refilled.
  write(WARNING);
});

Then('the number of dropped lines is logged', () => {
  const reports = written.filter(text => text.includes('log lines dropped'));
  assert.equal(reports.length, 1);
  assert.ok(Number(/"count":(\d+)/.exec(reports[0])?.[1]) > 0);
});

When('a warning, a refusal and the load of a pool are written to it', () => {
  write(WARNING);
  write(REFUSAL);
  write(POOL_LOAD);
});

Then(
  'at most {int} characters were written before the warning',
  (maxLength: number) => {
    const end = written.findIndex(text => text.startsWith(WARNING));
    const before = written.slice(0, end).join('').length;
    assert.ok(end > 0 && before <= maxLength, String(before));
  },
);

Then('the warning, the refusal and the load of the pool were written', () => {
  assert.ok(written.includes(`${WARNING}\n`));
  assert.ok(written.includes(`${REFUSAL}\n`));
  assert.ok(written.includes(`${POOL_LOAD}\n`));
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

When('it starts a task again because of {string}', (cause: string) =>
  meter.countRunRestart(cause),
);

Then(
  'its metrics count one start again because of {string}',
  async (cause: string) => {
    const sample = `sesamefront_runs_started_again_total{cause="${cause}"} 1`;
    assert.ok((await meter.render()).includes(sample));
  },
);

Then('no line of the metrics contains the request id', async () => {
  assert.ok(!(await meter.render()).includes(REQUEST_ID));
});

When(
  'an error of its {string} with a stack of {int} characters is reported',
  (activity: string, stackLength: number) => {
    written = [];
    setLogSink(line => written.push(line));
    const log = createLog({member: 'a'}, LogLevel.Info);
    const errors = createUnexpectedErrors(log, failed =>
      meter.countUnexpectedError(failed),
    );
    const error = new Error('out of range');
    error.stack = 'x'.repeat(stackLength);
    errors.report(activity, error, {host: 'h-1'});
    setLogSink(() => {});
  },
);

Then(
  'its log has one line {string} of at most {int} characters with the activity and the cause',
  (message: string, maxLength: number) => {
    assert.equal(written.length, 1);
    const [line] = written;
    assert.ok(line.length <= maxLength, String(line.length));
    const {message: subject, context} = JSON.parse(line) as {
      message: string;
      context: Record<string, unknown>;
    };
    assert.equal(subject, message);
    assert.equal(context.activity, 'leader');
    assert.equal(context.cause, 'out of range');
    assert.equal(context.host, 'h-1');
  },
);

Then(
  'its metrics count one unexpected error of the {string}',
  async (activity: string) => {
    const sample = `sesamefront_unexpected_errors_total{activity="${activity}"} 1`;
    assert.ok((await meter.render()).includes(sample));
  },
);

Then(
  'its metrics have the start time and the memory of the process',
  async () => {
    const text = await meter.render();
    assert.match(text, /^process_start_time_seconds [1-9]/m);
    assert.match(text, /^process_resident_memory_bytes [1-9]/m);
  },
);
