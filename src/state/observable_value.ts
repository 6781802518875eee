import {ErrorHandler, runInBackground} from './run_in_background';

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
 * @param onListenerError called with what a listener throws; the others are
 *     notified nevertheless. By default, `set` throws it.
 */
export function createObservableValue<T>(
  initial: T,
  onListenerError?: ErrorHandler,
): ObservableValue<T> {
  let current = initial;
  const listeners = new Set<(value: T) => void>();

  return {
    get: () => current,
    set(value) {
      current = value;
      for (const listener of [...listeners]) {
        if (onListenerError) {
          runInBackground(() => listener(value), onListenerError);
        } else {
          listener(value);
        }
      }
    },
    onChange(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
