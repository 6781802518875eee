import {runInBackground} from '../../state';
import {UnexpectedErrors} from '../../telemetry';
import {InvalidEntries} from './invalid_entries';

/**
 * Handles the errors of a leadership term that no call handles.
 *
 * An error within one entry costs this entry. Any other error ends the term, so
 * that the next one starts from the stored state. If the same activity ends term
 * after term, it is interrupted instead, and the others go on.
 */
export interface TermErrors extends UnexpectedErrors {
  /** Logs a stored entry that is ignored, once. */
  ignore(key: string, cause: unknown): void;
  /** Handles an error that belongs to no single entry. */
  fail(activity: string, error: unknown): void;
  /**
   * Ends the term after an error, however often that happens: without this
   * activity a leader does nothing at all.
   */
  end(activity: string, error: unknown): void;
  /**
   * Makes a call that nobody waits for; its error belongs to no single entry.
   */
  run(activity: string, call: () => unknown): void;
  /** Wraps a listener, or the callback of a timer, in the same way. */
  guard<P extends unknown[]>(
    activity: string,
    callback: (...parameters: P) => unknown,
  ): (...parameters: P) => void;
}

/** Remembers which activities have ended terms of this entry host. */
export interface TermFailures {
  /**
   * Records an error of an activity and returns whether it is the first in a
   * while.
   */
  recordFirst(activity: string): boolean;
}

/** Time in ms for which an activity that has ended a term ends no other. */
const REPEAT_PERIOD_MS = 600_000;

/** Creates the record of an entry host. */
export function createTermFailures(): TermFailures {
  const endedAt = new Map<string, number>();

  return {
    recordFirst(activity) {
      const now = performance.now();
      const before = endedAt.get(activity) ?? -Infinity;
      if (now < before + REPEAT_PERIOD_MS) return false;
      endedAt.set(activity, now);
      return true;
    },
  };
}

/**
 * Creates the error handling of a term.
 *
 * @param errors receives each error
 * @param invalidEntries receives the stored entries that are ignored
 * @param failures activities that have ended terms of this entry host
 * @param endTerm ends the term; has no effect once it has ended
 */
export function createTermErrors(
  errors: UnexpectedErrors,
  invalidEntries: InvalidEntries,
  failures: TermFailures,
  endTerm: (cause: string) => void,
): TermErrors {
  function fail(activity: string, error: unknown): void {
    errors.report(activity, error);
    if (failures.recordFirst(activity)) endTerm(`error: ${activity}`);
  }

  return {
    report: errors.report,
    ignore: invalidEntries.report,
    fail,
    end(activity, error) {
      errors.report(activity, error);
      endTerm(`error: ${activity}`);
    },
    run: (activity, call) =>
      runInBackground(call, error => fail(activity, error)),
    guard:
      (activity, callback) =>
      (...parameters) =>
        runInBackground(
          () => callback(...parameters),
          error => fail(activity, error),
        ),
  };
}
