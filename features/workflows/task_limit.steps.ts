import assert from 'node:assert/strict';
import {Before, Then, When} from '@cucumber/cucumber';
import {SubmitOutcome, WorkflowDraft} from '../../src/actors/workflows';
import {advance} from '../support/paused_clock';
import {getWorld} from './running.steps';
import {Submitted, TIMES, createStep} from './workflow_world';

/** Longer than the margin that is added to the retention period. */
const RETENTION_MARGIN_MS = 60_000;

const WORDY_LENGTH = 200_000;
/** Time until a scheduled workflow is due, in ms. */
const DUE_MS = 600_000;

let flood: Submitted[] = [];

Before(() => {
  flood = [];
});

function createDraft(kind: string, taskCount: number): Partial<WorkflowDraft> {
  const lasting = kind === 'long-running';
  const labels: Readonly<Record<string, string>> = {
    scheduled: '',
    wordy: 'x'.repeat(WORDY_LENGTH),
  };
  const label = labels[kind] ?? 'none-such';
  const firstAt = kind === 'scheduled' ? Date.now() + DUE_MS : 0;
  return {
    steps: [createStep({taskCount, lasting, label, cpuMillis: 1})],
    firstAt,
  };
}

When(
  /^(\d+) (scheduled|long-running|unplaceable|wordy) workflows of (\d+) tasks are submitted within (\d+) s$/,
  async (count: string, kind: string, taskCount: string, seconds: string) => {
    flood = [];
    const {members} = getWorld();
    for (let index = 0; index < Number(count); index += 1) {
      const draft = createDraft(kind, Number(taskCount));
      const member = members[index % members.length];
      flood.push(await getWorld().submit(member, draft));
      await advance((Number(seconds) * 1_000) / Number(count));
    }
  },
);

function listAccepted(): Submitted[] {
  return flood.filter(({outcome}) => outcome === SubmitOutcome.Accepted);
}

Then(
  'at least {int} and at most {int} of them are accepted',
  (least: number, most: number) => {
    const {length} = listAccepted();
    assert.ok(length >= least && length <= most, String(length));
  },
);

Then('the others are refused', () => {
  const accepted = new Set(listAccepted());
  for (const each of flood) {
    if (accepted.has(each)) continue;
    assert.equal(each.outcome, SubmitOutcome.Refused);
  }
});

When(
  'the accepted ones are cancelled and their retention period passes',
  async () => {
    const world = getWorld();
    for (const {id} of listAccepted()) await world.cancel(world.members[0], id);
    await advance(TIMES.keepStateMs + RETENTION_MARGIN_MS);
  },
);
