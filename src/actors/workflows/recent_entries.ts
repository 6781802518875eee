/** The entries that were added last, up to a limit. */
export interface RecentEntries<T> {
  set(key: string, value: T): void;
  get(key: string): T | undefined;
  has(key: string): boolean;
}

/**
 * Creates an empty collection.
 *
 * @param limit number of entries above which the oldest one is removed
 */
export function createRecentEntries<T>(limit: number): RecentEntries<T> {
  const entries = new Map<string, T>();

  return {
    set(key, value) {
      entries.set(key, value);
      if (entries.size <= limit) return;
      const [oldest] = entries.keys();
      entries.delete(oldest);
    },
    get: key => entries.get(key),
    has: key => entries.has(key),
  };
}
