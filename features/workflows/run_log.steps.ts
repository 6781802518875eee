import assert from 'node:assert/strict';
import {After, DataTable, Given, Then, When} from '@cucumber/cucumber';
import {LEADER_KEY} from '../../src/actors/workflows';
import {FleetEventKind} from '../../src/stand_ins/fleet';
import {LogContext, setLogSink} from '../../src/telemetry';
import {getSubmitted, getWorld} from './running.steps';
import {createSpec, createStep} from './workflow_world';

/** A warning of any entry host, with the monotonic time in ms of it. */
interface Warning {
  readonly at: number;
  readonly message: string;
  readonly fields: LogContext;
}

const WARN_LEVEL = 40;
const RESTART = 'run started again';

let warnings: Warning[] = [];

function list(wanted: string): readonly Warning[] {
  return warnings.filter(({message}) => message === wanted);
}

After(() => setLogSink(() => {}));

Given('a log of the warnings', () => {
  warnings = [];
  setLogSink(line => {
    const {message, context} = JSON.parse(line);
    if (context.logLevel < WARN_LEVEL) return;
    warnings.push({at: performance.now(), message, fields: context});
  });
});

When(
  'a workflow of {int} small tasks of {int} ms is submitted',
  async (taskCount: number, workMs: number) => {
    const size = {cpuMillis: 1, memoryMb: 1};
    getSubmitted().push(
      await getWorld().submit(getWorld().members[0], {
        spec: createSpec({workMs, ...size}),
        steps: [createStep({taskCount, estimateMs: workMs, ...size})],
      }),
    );
  },
);

Then('a warning {string} tells', (message: string, table: DataTable) => {
  const fence = getWorld().keyValue.get(LEADER_KEY)?.version;
  const expected = {...table.rowsHash(), fence: String(fence)};
  const found = list(message).map(({fields}) =>
    Object.keys(expected).map(key => `${key} ${fields[key]}`),
  );
  const wanted = Object.entries(expected).map(
    ([key, value]) => `${key} ${value}`,
  );
  const matches = found.some(each => each.join() === wanted.join());
  assert.ok(matches, `${wanted} not in ${JSON.stringify(found, null, 1)}`);
});

Then(
  'these warnings name starts that have happened and births of their hosts',
  () => {
    const {fleet} = getWorld();
    const starts = fleet.events
      .filter(({kind}) => kind === FleetEventKind.Start)
      .map(({hostId, task, run}) => `${task}/${run} ${hostId}`);
    for (const {fields} of list(RESTART)) {
      const {task, run, host, earlierRun, earlierHost} = fields;
      assert.ok(starts.includes(`${task}/${run} ${host}`));
      assert.ok(starts.includes(`${task}/${earlierRun} ${earlierHost}`));
      const current = fleet.hosts.get(String(earlierHost))?.host.bornAt;
      assert.equal(fields.latestBornAt, current);
      const hasRestarted = fields.cause !== 'lease expired';
      assert.equal(fields.earlierBornAt !== current, hasRestarted);
    }
  },
);

Then('the leader has counted them by cause', () => {
  const told = list(RESTART).map(({fields}) => fields.cause);
  const omitted = list(RESTART).map(({fields}) => Number(fields.omitted));
  const {restartCauses = []} = getWorld().getLeader() ?? {};
  assert.deepEqual([...new Set(restartCauses)], [...new Set(told)]);
  const known = omitted.reduce((sum, count) => sum + count, told.length);
  assert.ok(known > 0 && restartCauses.length >= known);
});

Then('{int} tasks were started again', (count: number) => {
  const {restartCauses} = getWorld().getLeader() ?? {};
  assert.equal(restartCauses?.length, count);
});

Then(
  'each second has at most {int} warnings {string}',
  (limit: number, message: string) => {
    const times = list(message).map(({at}) => at);
    assert.ok(times.length > 0);
    const isWithinLimit = times.every(
      (at, index) => (times[index + limit] ?? Infinity) >= at + 1_000,
    );
    assert.ok(isWithinLimit, String(times));
  },
);

Then(
  'these warnings and those that they count as left out are at least {int} starts',
  (count: number) => {
    const lines = list(RESTART);
    const omitted = lines.map(({fields}) => Number(fields.omitted));
    const known = omitted.reduce((sum, each) => sum + each, lines.length);
    assert.ok(known >= count, `${known}`);
  },
);
