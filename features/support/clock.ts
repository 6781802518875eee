import FakeTimers from '@sinonjs/fake-timers';
import prand from 'pure-rand';

/** Wall-clock time in ms since the epoch at which a paused clock starts. */
const START_TIME_MS = Date.UTC(2026, 0, 5);
const DEFAULT_SEED = 20260105;
const DEFAULT_STEP_MS = 50;

let installed: ReturnType<typeof FakeTimers.install> | undefined;
const systemRandom = Math.random;
const systemSetImmediate = globalThis.setImmediate;
const systemClearImmediate = globalThis.clearImmediate;

interface PendingImmediate {
  cancelled: boolean;
}

/**
 * Replaces the runtime's clock by one that only advances on request, and seeds
 * Math.random.
 *
 * @param seed seed of Math.random
 */
export function pauseClock(seed = DEFAULT_SEED): void {
  installed = FakeTimers.install({
    now: START_TIME_MS,
    toFake: [
      'Date',
      'performance',
      'setTimeout',
      'clearTimeout',
      'setInterval',
      'clearInterval',
    ],
  });
  replaceImmediates();
  seedRandom(seed);
}

/**
 * Makes setImmediate run callbacks as microtasks, in order and without
 * advancing the clock.
 *
 * The immediates of the fake-timers library take 1 ms of paused time each,
 * which would delay every message to an actor by 1 ms.
 */
function replaceImmediates(): void {
  const set = (callback: (...args: unknown[]) => void, ...args: unknown[]) => {
    const pending: PendingImmediate = {cancelled: false};
    queueMicrotask(() => {
      if (!pending.cancelled) callback(...args);
    });
    return pending;
  };
  const clear = (pending?: PendingImmediate) => {
    if (pending) pending.cancelled = true;
  };
  globalThis.setImmediate = set as unknown as typeof setImmediate;
  globalThis.clearImmediate = clear as unknown as typeof clearImmediate;
}

/**
 * Sets the paused wall clock forward, or back if negative; the monotonic clock
 * and the timers are unaffected.
 */
export function stepWallClock(ms: number): void {
  installed?.setSystemTime(Date.now() + ms);
}

/** Restores the runtime's own clock and Math.random. */
export function resumeClock(): void {
  installed?.uninstall();
  installed = undefined;
  globalThis.setImmediate = systemSetImmediate;
  globalThis.clearImmediate = systemClearImmediate;
  Math.random = systemRandom;
}

/**
 * Makes Math.random return a reproducible sequence.
 *
 * @param seed seed of the sequence
 */
export function seedRandom(seed: number): void {
  const generator = prand.xoroshiro128plus(seed);
  const range = 2 ** 31;
  Math.random = () =>
    prand.unsafeUniformIntDistribution(0, range - 1, generator) / range;
}

/**
 * Advances the paused clock and runs all timers and promises that become due.
 *
 * @param ms time to advance, in ms
 */
export async function advance(ms: number): Promise<void> {
  await installed?.tickAsync(ms);
}

/**
 * Advances the paused clock until a condition holds.
 *
 * @param isDone returns whether the condition holds
 * @param timeoutMs maximum time to advance, in ms
 * @param stepMs time between two checks of the condition, in ms
 * @returns time advanced in ms
 * @throws Error if the condition does not hold within the time limit
 */
export async function advanceUntil(
  isDone: () => boolean | Promise<boolean>,
  timeoutMs: number,
  stepMs = DEFAULT_STEP_MS,
): Promise<number> {
  for (let elapsedMs = 0; elapsedMs <= timeoutMs; elapsedMs += stepMs) {
    if (await isDone()) return elapsedMs;
    await advance(stepMs);
  }
  throw new Error(`condition did not hold within ${timeoutMs} ms`);
}

/**
 * Advances the paused clock until a promise settles.
 *
 * @param promise the promise
 * @param timeoutMs maximum time to advance, in ms
 */
export async function settle<T>(
  promise: Promise<T>,
  timeoutMs = 60_000,
): Promise<T> {
  let settled = false;
  promise.then(
    () => (settled = true),
    () => (settled = true),
  );
  await advanceUntil(() => settled, timeoutMs);
  return promise;
}

/**
 * Advances the paused clock and runs due timers without running promise
 * callbacks in between.
 *
 * @param ms time to advance, in ms
 */
export function tickSync(ms: number): void {
  installed?.tick(ms);
}

/**
 * Shifts the wall clock without advancing timers or monotonic time, as a time
 * synchronisation may.
 *
 * @param ms shift in ms; negative to set the clock back
 */
export function jumpWallClock(ms: number): void {
  installed?.setSystemTime(Date.now() + ms);
}
