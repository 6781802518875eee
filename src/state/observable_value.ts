/** A value that its owner sets and others read or observe. */
export interface ObservableValue<T> {
  /** Returns the current value. */
  get(): T;
  /** Replaces the value and notifies the listeners. */
  set(value: T): void;
  /** Adds a listener for changes and returns a function that removes it. */
  onChange(listener: (value: T) => void): () => void;
}

/**
 * Creates an observable value.
 *
 * @param initial value until the first call of `set`
 */
export function createObservableValue<T>(initial: T): ObservableValue<T> {
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
