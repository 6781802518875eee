import {PoolHost} from '../../types';

/**
 * Cache of each pool's hosts; returns the same array until the source changes.
 */
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
  const hostsByPool = new Map<string, readonly PoolHost[]>();
  const unsubscribe = source.onChange(() => hostsByPool.clear());

  return {
    get(pool) {
      const cached = hostsByPool.get(pool);
      if (cached) return cached;
      const hosts = source.getPoolHosts(pool);
      hostsByPool.set(pool, hosts);
      return hosts;
    },
    dispose: unsubscribe,
  };
}
