import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {RunTimes, createRunTimes} from '../../src/decisions/workflows';
import {createRandom} from '../support/random';

const QUEUE = 'queue';
/** Standard deviation of the logarithm of run times of one image. */
const DEVIATION = 0.3;

let runTimes: RunTimes;
let random: () => number;

Given('no recorded runs', () => {
  runTimes = createRunTimes();
  random = createRandom(7);
});

/** Returns a factor with a log-normal distribution around 1. */
function vary(): number {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return Math.exp(DEVIATION * normal);
}

function declare(): number {
  return 500 + 1_500 * random();
}

function run(image: string, factor: number): void {
  const estimateMs = declare();
  runTimes.observe(QUEUE, {image, estimateMs}, estimateMs * factor * vary());
}

function getMedian(image: string, estimateMs: number): number {
  return runTimes.estimateMedian(QUEUE, {image, estimateMs});
}

When(
  '{int} run(s) of image {string} take(s) {float} times what they/it declare(s)',
  (count: number, image: string, factor: number) => {
    for (let index = 0; index < count; index += 1) run(image, factor);
  },
);

When(
  '{int} runs of image {string} take {float} times and {int} of image {string} {float} times what they declare',
  (
    count: number,
    image: string,
    factor: number,
    otherCount: number,
    otherImage: string,
    otherFactor: number,
  ) => {
    for (let index = 0; index < Math.max(count, otherCount); index += 1) {
      if (index < count) run(image, factor);
      if (index < otherCount) run(otherImage, otherFactor);
    }
  },
);

When(
  '{int} runs of image {string} take {int} ms whatever they declare',
  (count: number, image: string, actualMs: number) => {
    for (let index = 0; index < count; index += 1) {
      const step = {image, estimateMs: 10 ** (2 + 2 * random())};
      runTimes.observe(QUEUE, step, actualMs * vary());
    }
  },
);

When(
  '{int} runs of image {string} take {float} times what they declare, but {int} % of them {int} times as long',
  (
    count: number,
    image: string,
    factor: number,
    share: number,
    stretch: number,
  ) => {
    for (let index = 0; index < count; index += 1) {
      run(image, random() * 100 < share ? factor * stretch : factor);
    }
  },
);

When(
  '{int} images have one run each while image {string} keeps running',
  (count: number, image: string) => {
    for (let index = 0; index < count; index += 1) {
      run(`other-${index}`, 3);
      run(image, 3);
    }
  },
);

Then(
  'a run of image {string} declared as {int} ms is expected to take {int} ms',
  (image: string, estimateMs: number, expectedMs: number) => {
    const step = {image, estimateMs};
    assert.equal(Math.round(runTimes.estimate(QUEUE, step)), expectedMs);
    assert.equal(Math.round(runTimes.estimateMedian(QUEUE, step)), expectedMs);
  },
);

Then(
  'it seldom exceeds a factor of {int} to {int} of that',
  (from: number, to: number) => {
    const step = {image: 'a', estimateMs: 1_000};
    const longMs = runTimes.estimateLong(QUEUE, step);
    assert.ok(longMs >= from * 1_000 && longMs <= to * 1_000, `${longMs}`);
  },
);

Then('a run declared as 0 ms is expected to take 0 ms', () => {
  const step = {image: 'a', estimateMs: 0};
  assert.equal(runTimes.estimate(QUEUE, step), 0);
  assert.equal(runTimes.estimateLong(QUEUE, step), 0);
});

Then(
  'a run of image {string} declared as {int} ms has a median within {int} % of {int} ms',
  (image: string, estimateMs: number, percent: number, expectedMs: number) => {
    const ratio = getMedian(image, estimateMs) / expectedMs;
    assert.ok(Math.abs(ratio - 1) <= percent / 100, `${ratio}`);
  },
);

Then(
  'a run of image {string} declared as {int} ms has a median between {int} and {int} ms',
  (image: string, estimateMs: number, from: number, to: number) => {
    const median = getMedian(image, estimateMs);
    assert.ok(median >= from && median <= to, `${median}`);
  },
);

Then(
  'the mean of image {string} exceeds its median by {int} to {int} %',
  (image: string, from: number, to: number) => {
    const step = {image, estimateMs: 1_000};
    const excess =
      runTimes.estimate(QUEUE, step) / runTimes.estimateMedian(QUEUE, step) - 1;
    assert.ok(excess >= from / 100 && excess <= to / 100, `${excess}`);
  },
);

Then(
  'a straggler of image {string} exceeds the long run time, and 9 of 10 others do not',
  (image: string) => {
    const longMs = runTimes.estimateLong(QUEUE, {image, estimateMs: 1_000});
    const runs = Array.from({length: 1_000}, () => 1_000 * vary());
    const usual = runs.filter(runMs => runMs <= longMs).length;
    assert.ok(usual >= 900, `${usual} of 1000`);
    const stragglers = runs.filter(runMs => 7 * runMs > longMs).length;
    assert.ok(stragglers >= 980, `${stragglers} of 1000`);
  },
);

Then('a forgotten image is expected to behave like its queue', () => {
  assert.equal(getMedian('other-0', 1_000), getMedian('never seen', 1_000));
  assert.notEqual(getMedian('a', 1_000), getMedian('never seen', 1_000));
});
