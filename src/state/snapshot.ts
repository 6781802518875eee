/** A value that one owner sets and others read or follow. */
export interface Snapshot<T> {
  /** Returns the current value. */
  get(): T;
  /** Replaces the value and tells the listeners. */
  set(value: T): void;
  /** Calls a listener after each change until the returned function is called. */
  onChange(listener: (value: T) => void): () => void;
}

/**
 * Creates a snapshot that holds an initial value.
 *
 * @param initial value until the first set
 * @returns the snapshot
 */
export function createSnapshot<T>(initial: T): Snapshot<T> {
  let current = initial;
  const listeners = new Set<(value: T) => void>();

  return {
    get: () => current,
    set(value) {
      current = value;
      for (const listener of [...listeners]) listener(value);
    },
    onChange(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
