import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {HostHealthMonitor} from '../../src/actors/workflows/host_health_monitor';
import {createRunEndHandler} from '../../src/actors/workflows/run_end_handler';
import {
  RunTimes,
  TaskRecord,
  WorkflowRecord,
  createPlacement,
  createWorkflowRecord,
  getGroup,
} from '../../src/decisions/workflows';
import {LogLevel, createLog} from '../../src/telemetry';
import {TaskEndKind, Workflow} from '../../src/types/workflow';
import {QUEUE, createSpec, createStep} from './workflow_world';

let record: WorkflowRecord;
let task: TaskRecord;

function fail(): never {
  throw new Error('cannot learn');
}

function createRecord(): WorkflowRecord {
  const workflow: Workflow = {
    id: '00000000000000e5',
    queue: QUEUE.name,
    pool: QUEUE.pool,
    priority: 0,
    maxAttempts: 1,
    stretch: 1.6,
    targetDurationMs: 600,
    acceptedAt: 0,
    spec: createSpec(),
    steps: [createStep()],
    occurrences: 1,
    firstAt: 0,
    intervalMs: 0,
  };
  return createWorkflowRecord(workflow, undefined, {}, 0);
}

When(
  'a run of the only task of a workflow with one attempt ends as {word}, and what is learnt from it throws',
  (kind: string) => {
    record = createRecord();
    [task] = getGroup(record, 0, 0);
    task.run = 1;
    task.placement = createPlacement('host-1', 1, 'address-1', 1, 0);
    const health = {recordDone: fail, recordFailure: fail};
    const handler = createRunEndHandler(
      {observe: fail} as unknown as RunTimes,
      health as unknown as HostHealthMonitor,
      (ended, state) => {
        ended.state = state;
      },
      createLog({}, LogLevel.Error),
    );
    const end = {
      number: 1,
      task: task.name,
      run: 1,
      kind: kind as TaskEndKind,
      checkpoint: '',
    };
    assert.throws(() => handler.handle(record, task, end));
  },
);

Then(
  'its task is {word}, and the workflow is {word}',
  (phase: string, state: string) => {
    assert.equal(task.phase, phase);
    assert.equal(record.state, state);
  },
);
