/** The keys that were added last, up to a limit. */
export interface RecentKeys {
  add(key: string): void;
  has(key: string): boolean;
}

/**
 * Creates an empty set of keys.
 *
 * @param limit number of keys above which the oldest one is removed
 */
export function createRecentKeys(limit: number): RecentKeys {
  const keys = new Set<string>();

  return {
    add(key) {
      keys.add(key);
      if (keys.size <= limit) return;
      const [oldest] = keys;
      keys.delete(oldest);
    },
    has: key => keys.has(key),
  };
}
