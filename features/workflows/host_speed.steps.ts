import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  HostSpeed,
  MeasuredHost,
  Placement,
  createHostSpeed,
  createPlacement,
  getMoveGainMs,
} from '../../src/decisions/workflows';
import {FleetEventKind, TaskHostModel} from '../../src/stand_ins/fleet';
import {TaskEndKind} from '../../src/types/workflow';
import {advance} from '../support/paused_clock';
import {createRandom} from '../support/random';
import {getSubmitted, getWorld} from './running.steps';
import {createSpec, createStep} from './workflow_world';

const HOST: MeasuredHost = {id: 'host-1', rack: 'rack-1'};
const IDLE_HOST: MeasuredHost = {id: 'idle', rack: 'rack-1'};
const OTHER_HOST: MeasuredHost = {id: 'other', rack: 'rack-2'};
const MOVE_MS = 1_500;
/** Relative difference between tasks of one image. */
const DIFFERENCE = 1 / 3;

let speed: HostSpeed;
let now = 0;
let judgements = 0;
let wrong = 0;
let placement: Placement;
let slowHost: TaskHostModel;
let slowSince = 0;

Given('an empty record of host speeds', () => {
  speed = createHostSpeed();
  now = 1_000;
});

When(
  '{int} runs end on a host in {float} times their usual time',
  (count: number, slowness: number) => {
    speed.recordProgress(HOST, [], now);
    for (let index = 0; index < count; index += 1) {
      speed.recordEnd(HOST.id, slowness, now);
    }
  },
);

When(
  '{int} runs are in progress on a host at {float} times their usual time',
  (count: number, slowness: number) => {
    const slownesses = Array.from({length: count}, () => slowness);
    speed.recordProgress(HOST, slownesses, now);
  },
);

When('{int} s pass for the speed record', (seconds: number) => {
  now += seconds * 1_000;
});

Then('the host is slow', () => {
  speed.review(now);
  assert.equal(speed.isSlow(HOST.id), true);
});

Then('the host is not slow', () => {
  speed.review(now);
  assert.equal(speed.isSlow(HOST.id), false);
});

When(
  '{int} hosts run tasks that differ by a third for {int} s',
  (count: number, seconds: number) => {
    const random = createRandom(11);
    const vary = () => {
      const normal =
        Math.sqrt(-2 * Math.log(1 - random())) *
        Math.cos(2 * Math.PI * random());
      return Math.exp(DIFFERENCE * normal);
    };
    judgements = 0;
    wrong = 0;
    for (let second = 0; second < seconds; second += 1) {
      now += 1_000;
      for (let index = 0; index < count; index += 1) {
        const host = {id: `host-${index}`, rack: `rack-${index % 20}`};
        const running = Math.floor(random() * 6);
        speed.recordProgress(host, Array.from({length: running}, vary), now);
        for (let end = 0; end < 3; end += 1) {
          speed.recordEnd(host.id, vary(), now);
        }
      }
      speed.review(now);
      for (let index = 0; index < count; index += 1) {
        judgements += 1;
        if (speed.isSlow(`host-${index}`)) wrong += 1;
      }
    }
  },
);

Then('at most {int} of 100 judgements was wrong', (limit: number) => {
  assert.ok(judgements > 0);
  assert.ok(wrong <= (judgements * limit) / 100, `${wrong} of ${judgements}`);
});

When(
  '{int} of {int} busy hosts on a rack are slow',
  (slow: number, busy: number) => {
    for (let index = 0; index < busy; index += 1) {
      const slowness = index < slow ? 4 : 1;
      const slownesses = [slowness, slowness, slowness, slowness];
      const host = {id: `busy-${index}`, rack: HOST.rack};
      speed.recordProgress(host, slownesses, now);
    }
    for (const host of [IDLE_HOST, OTHER_HOST]) {
      speed.recordProgress(host, [1], now);
      speed.recordProgress(host, [], now);
    }
    speed.review(now);
  },
);

Then('an idle host on that rack is slow', () => {
  assert.equal(speed.isSlow(IDLE_HOST.id), true);
});

Then('an idle host on that rack is not slow', () => {
  assert.equal(speed.isSlow(IDLE_HOST.id), false);
});

Then('a host on another rack is not slow', () => {
  assert.equal(speed.isSlow(OTHER_HOST.id), false);
});

Given(
  'a checkpointed run at {int} percent after {int} ms on a host',
  (percent: number, elapsedMs: number) => {
    placement = createPlacement(HOST.id, 1, 'address', 1, 0);
    placement.confirmed = true;
    placement.listed = true;
    placement.percent = percent;
    placement.seenAt = elapsedMs;
  },
);

Then(
  'at a slowness of {float} it gains between {int} and {int} ms by a move',
  (slowness: number, from: number, to: number) => {
    const gainMs = getMoveGainMs(placement, 1_000, slowness, MOVE_MS);
    assert.ok(gainMs >= from && gainMs <= to, `${gainMs}`);
  },
);

Then('at a slowness of {float} it loses by a move', (slowness: number) => {
  assert.ok(getMoveGainMs(placement, 1_000, slowness, MOVE_MS) < 0);
});

When(
  '{int} checkpointed workflows are submitted, one every {int} ms, and one host becomes {int} times as slow',
  async (count: number, intervalMs: number, slowness: number) => {
    const world = getWorld();
    const hosts = [...world.fleet.hosts.values()];
    const workMs = 900;
    for (let index = 0; index < count; index += 1) {
      if (index === Math.floor(count / 4)) {
        const busiest = hosts.sort(
          (a, b) => b.listRuns().length - a.listRuns().length,
        );
        [slowHost] = busiest;
        slowHost.faults.slowness = slowness;
        slowSince = performance.now();
      }
      const draft = {
        spec: createSpec({workMs}),
        steps: [createStep({taskCount: 6, checkpoints: true, estimateMs: 700})],
      };
      getSubmitted().push(await world.submit(world.members[0], draft));
      await advance(intervalMs);
    }
  },
);

Then(
  'at most {int} runs have started on the slow host since then',
  (limit: number) => {
    const {events} = getWorld().fleet;
    const starts = events.filter(
      ({kind, hostId, at}) =>
        kind === FleetEventKind.Start &&
        hostId === slowHost.host.id &&
        at >= slowSince,
    );
    assert.ok(starts.length > 0 && starts.length <= limit, `${starts.length}`);
  },
);

Then('a run was moved away from it', () => {
  const {events} = getWorld().fleet;
  assert.ok(
    events.some(
      ({kind, hostId, how}) =>
        kind === FleetEventKind.End &&
        hostId === slowHost.host.id &&
        how === TaskEndKind.Stopped,
    ),
  );
});
