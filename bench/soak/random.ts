import prand from 'pure-rand';

/** Reproducible random choices. */
export interface Random {
  /** Returns a number in [0, 1). */
  next(): number;
  /** Returns an integer from `min` to `max`, both included. */
  between(min: number, max: number): number;
  chance(share: number): boolean;
  pick<T>(items: readonly T[]): T;
}

/** Creates a sequence of random choices that depends on the seed only. */
export function createRandom(seed: number): Random {
  const generator = prand.xoroshiro128plus(seed);
  const between = (min: number, max: number) =>
    prand.unsafeUniformIntDistribution(min, max, generator);
  const next = () => between(0, 0x7fffffff) / 0x80000000;
  return {
    next,
    between,
    chance: share => next() < share,
    pick: items => items[between(0, items.length - 1)],
  };
}
