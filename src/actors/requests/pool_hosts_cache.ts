import {PoolHost} from '../../types';

/** Cache of each pool's hosts; returns the same array until the source changes. */
export interface PoolHostsCache {
  get(pool: string): readonly PoolHost[];
  dispose(): void;
}

/** Source of the cached hosts. */
export interface PoolHostsSource {
  getPoolHosts(pool: string): readonly PoolHost[];
  onChange(listener: () => void): () => void;
}

/** Creates a cache that is cleared on every change of its source. */
export function createPoolHostsCache(source: PoolHostsSource): PoolHostsCache {
  const known = new Map<string, readonly PoolHost[]>();
  const stop = source.onChange(() => known.clear());

  return {
    get(pool) {
      const cached = known.get(pool);
      if (cached) return cached;
      const hosts = source.getPoolHosts(pool);
      known.set(pool, hosts);
      return hosts;
    },
    dispose: stop,
  };
}
