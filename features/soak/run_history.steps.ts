import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {UNFOLLOWED} from '../../bench/soak/bad_callers';
import {createDisturbances} from '../../bench/soak/disturbances';
import {createOperator} from '../../bench/soak/operator';
import {createPlants} from '../../bench/soak/plant';
import {createRandom} from '../../bench/soak/random';
import {RunHistory, createRunHistory} from '../../bench/soak/run_history';
import {SPARE_POOL} from '../../bench/soak/site';
import {
  Submission,
  drawSubmission,
  listTasks,
} from '../../bench/soak/submission';
import {Verdict, createVerdict} from '../../bench/soak/verdict';
import {
  ExternalPlatform,
  createExternalPlatform,
} from '../../src/stand_ins/external_platform';
import {FleetEvent, FleetEventKind} from '../../src/stand_ins/fleet';
import {TaskEndKind} from '../../src/types/workflow';

let platform: ExternalPlatform | undefined;
let history: RunHistory | undefined;
let verdict: Verdict;
let submission: Submission;

After(() => {
  history?.dispose();
  platform?.dispose();
  history = undefined;
  platform = undefined;
});

function record(event: Partial<FleetEvent>): void {
  const events = platform?.fleet.events as FleetEvent[];
  const at = performance.now();
  events.push({
    ...{kind: FleetEventKind.Boot, hostId: 'host-1', task: '', run: 0, at},
    ...event,
  });
}

function recordRun(task: string, run: number): void {
  record({kind: FleetEventKind.Start, task, run});
  record({kind: FleetEventKind.End, task, run, how: TaskEndKind.Done});
}

Given(
  'a host that lists the end of a task that nobody follows, then one as done',
  async () => {
    submission = drawSubmission(createRandom(1), 1);
    platform = await createExternalPlatform({
      pools: new Map([[submission.workflow.pool, 1]]),
      sparePool: SPARE_POOL,
      spareMachines: 0,
    });
    verdict = createVerdict(
      () => 0,
      () => {},
    );
    history = createRunHistory({
      platform,
      submissions: new Map([[submission.id, submission]]),
      operator: createOperator(platform),
      plants: createPlants([]),
      disturbances: createDisturbances(),
      verdict,
    });
    recordRun(`${UNFOLLOWED}00000000.0.0.0`, 1);
    recordRun(listTasks(submission.workflow)[0], 1);
  },
);

When('the first end is acknowledged, and the host restarts', () => {
  record({kind: FleetEventKind.Acknowledged, run: 1});
  record({kind: FleetEventKind.Boot});
});

When('both ends are acknowledged, and the host restarts', () => {
  record({kind: FleetEventKind.Acknowledged, run: 2});
  record({kind: FleetEventKind.Boot});
});

When('the task that was done starts again', () => {
  record({
    kind: FleetEventKind.Start,
    task: listTasks(submission.workflow)[0],
    run: 2,
  });
  history?.checkAll();
});

Then('the soak reports {int} broken promise(s)', (count: number) => {
  assert.equal(verdict.violations.length, count);
});
