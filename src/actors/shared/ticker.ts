import {runInBackground} from '../../state';
import {UnexpectedErrors} from '../../telemetry';

/** Calls a function at a fixed interval until it is disposed. */
export interface Ticker {
  dispose(): void;
}

/** Options of a ticker. */
export interface TickerOptions {
  /** Time between calls in ms. */
  readonly intervalMs: number;
  /** Name of the function in the report of its errors. */
  readonly activity: string;
  /** The function to call; its error ends this call only. */
  readonly tick: () => unknown;
  readonly errors: UnexpectedErrors;
}

/**
 * Starts a ticker, which calls its function immediately and then after each
 * interval.
 */
export function createTicker(options: TickerOptions): Ticker {
  const {intervalMs, activity, tick, errors} = options;
  const call = () =>
    runInBackground(tick, error => errors.report(activity, error));
  call();
  const timer = setInterval(call, intervalMs);
  return {dispose: () => clearInterval(timer)};
}
