import FakeTimers from '@sinonjs/fake-timers';
import prand from 'pure-rand';

/** Wall-clock time at which a paused clock starts. */
const START_AT = Date.UTC(2026, 0, 5);
const SEED = 20260105;
const STEP_MS = 50;

let installed: ReturnType<typeof FakeTimers.install> | undefined;
const systemRandom = Math.random;
const systemSetImmediate = globalThis.setImmediate;
const systemClearImmediate = globalThis.clearImmediate;

interface PendingImmediate {
  cancelled: boolean;
}

/**
 * Pauses the runtime's clock and makes Math.random repeat the same numbers.
 *
 * @param seed start of the random sequence
 */
export function pauseClock(seed = SEED): void {
  installed = FakeTimers.install({
    now: START_AT,
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
 * Runs immediates as microtasks, in order and without advancing the clock.
 *
 * The library's own immediates take 1 ms of paused time each, which would make
 * every message to an actor cost 1 ms.
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

/** Gives the runtime its own clock and randomness back. */
export function resumeClock(): void {
  installed?.uninstall();
  installed = undefined;
  globalThis.setImmediate = systemSetImmediate;
  globalThis.clearImmediate = systemClearImmediate;
  Math.random = systemRandom;
}

/**
 * Makes Math.random repeat the same numbers.
 *
 * @param seed start of the sequence
 */
export function seedRandom(seed: number): void {
  const generator = prand.xoroshiro128plus(seed);
  const range = 2 ** 31;
  Math.random = () =>
    prand.unsafeUniformIntDistribution(0, range - 1, generator) / range;
}

/**
 * Advances the paused clock and lets everything due run.
 *
 * @param ms time to advance
 */
export async function advance(ms: number): Promise<void> {
  await installed?.tickAsync(ms);
}

/**
 * Advances the paused clock until a condition holds.
 *
 * @param isDone the condition
 * @param limitMs longest time to advance
 * @param stepMs time between two looks at the condition
 * @returns time advanced in ms
 * @throws Error if the condition doesn't hold in time
 */
export async function advanceUntil(
  isDone: () => boolean | Promise<boolean>,
  limitMs: number,
  stepMs = STEP_MS,
): Promise<number> {
  for (let passed = 0; passed <= limitMs; passed += stepMs) {
    if (await isDone()) return passed;
    await advance(stepMs);
  }
  throw new Error(`did not happen within ${limitMs} ms`);
}

/**
 * Advances the paused clock until a promise settles.
 *
 * @param promise what to wait for
 * @param limitMs longest time to advance
 */
export async function settle<T>(
  promise: Promise<T>,
  limitMs = 60_000,
): Promise<T> {
  let settled = false;
  promise.then(
    () => (settled = true),
    () => (settled = true),
  );
  await advanceUntil(() => settled, limitMs);
  return promise;
}

/**
 * Advances the paused clock without letting promises run in between.
 *
 * @param ms time to advance
 */
export function tickSync(ms: number): void {
  installed?.tick(ms);
}

/**
 * Moves the wall clock without any time passing, as a time server may.
 *
 * @param ms how far it moves; negative is back
 */
export function jumpWallClock(ms: number): void {
  installed?.setSystemTime(Date.now() + ms);
}
