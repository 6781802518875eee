import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {SubmitOutcome} from '../../src/actors/workflows';
import {getOutageRetryMs} from '../../src/decisions/workflows';
import {advance, advanceUntil} from '../support/paused_clock';
import {getWorld} from './running.steps';
import {Submitted, createSpec, createStep} from './workflow_world';

/** Time in ms within which the caller's last attempt has ended. */
const PATIENCE_MS = 20_000;

let delayMs = 0;
let accepted: Submitted | undefined;

When('the store has been unavailable for {int} ms', (outageMs: number) => {
  delayMs = getOutageRetryMs(outageMs);
});

Then('callers are asked to come back after {int} ms', (expectedMs: number) =>
  assert.equal(delayMs, expectedMs),
);

async function submitPatiently(retries: number): Promise<void> {
  const world = getWorld();
  for (let attempt = 0; attempt <= retries; attempt += 1) {
    const member = world.members[attempt % world.members.length];
    const {
      id,
      outcome,
      retryAfterMs = 0,
    } = await world.submit(member, {
      spec: createSpec(),
      steps: [createStep({taskCount: 4})],
    });
    if (outcome === SubmitOutcome.Accepted) {
      accepted = {id, outcome};
      return;
    }
    // The header has whole seconds.
    await new Promise(resolve =>
      setTimeout(resolve, Math.ceil(retryAfterMs / 1_000) * 1_000),
    );
  }
}

When(
  'a caller submits a workflow, with {int} more attempts when it is asked to come back',
  (retries: number) => {
    accepted = undefined;
    void submitPatiently(retries);
  },
);

When('the store is reachable again after {int} ms', async (ms: number) => {
  await advance(ms);
  for (const {faults} of getWorld().members) faults.down = false;
});

Then('the workflow of the caller is completed', async () => {
  await advanceUntil(() => accepted !== undefined, PATIENCE_MS);
  const id = accepted?.id ?? '';
  await advanceUntil(
    async () => (await getWorld().readState(id)) === 'completed',
    PATIENCE_MS,
  );
});
