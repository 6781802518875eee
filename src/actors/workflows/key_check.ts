import {Result} from 'true-myth';
import {KeyRefusal, identifyCaller} from '../../decisions/workflows';
import {Log} from '../../telemetry';
import {Caller, FleetConfiguration, Queue} from '../../types/workflow';
import {createLineLimit} from './line_limit';

/** Identifies the callers of an entry host by their API keys. */
export interface KeyCheck {
  /**
   * Waits for a configuration that is recent enough to identify callers of a
   * queue, for the given time in ms at most.
   */
  whenReady(queue: Queue, timeoutMs: number): Promise<void>;
  /**
   * Identifies the caller of a queue.
   *
   * @param call the call, and a function that reads its key
   */
  identify(call: KeyedCall): Result<Caller, KeyRefusal>;
}

/** A call whose key is checked. */
export interface KeyedCall {
  readonly queue: Queue;
  /** The newest configuration that this entry host knows. */
  readonly configuration: FleetConfiguration;
  /** Id of the workflow that is called; undefined if it is not a valid id. */
  readonly id: string | undefined;
  readonly readKey: () => Result<string, KeyRefusal>;
}

/** Dependencies of a key check. */
export interface KeyCheckOptions {
  /** Returns the time in ms since the store last confirmed the configuration. */
  readonly getConfigurationAgeMs: () => number;
  /**
   * Waits until the store answers for the configuration, for the given time in
   * ms at most.
   */
  readonly whenConfirmed: (timeoutMs: number) => Promise<unknown>;
  /** Age in ms above which the configuration identifies nobody. */
  readonly maxConfigurationAgeMs: number;
  /** Called with the cause of each refusal. */
  readonly onRefusal: (cause: KeyRefusal) => void;
  readonly log: Log;
}

/** Maximum number of log lines about refused keys in a period. */
const MAX_LINES = 10;
const LINE_PERIOD_MS = 1_000;

/**
 * Creates a key check.
 *
 * Refusals are logged at a bounded rate, since anybody can cause them, and
 * neither keys nor their digests are logged.
 *
 * @param options the configuration's age, its limit, and the log
 */
export function createKeyCheck({
  getConfigurationAgeMs,
  whenConfirmed,
  maxConfigurationAgeMs,
  onRefusal,
  log,
}: KeyCheckOptions): KeyCheck {
  const limit = createLineLimit(MAX_LINES, LINE_PERIOD_MS);

  function logRefusal(cause: KeyRefusal, call: KeyedCall, ageMs: number): void {
    const omitted = limit.admit();
    if (omitted === undefined) return;
    log.info('key', {
      request: call.id,
      decision: 'refuse',
      cause,
      queue: call.queue.name,
      version: call.configuration.version,
      configurationAgeMs: Math.round(ageMs),
      omitted,
    });
  }

  return {
    async whenReady(queue, timeoutMs) {
      if (queue.isPublic) return;
      if (getConfigurationAgeMs() <= maxConfigurationAgeMs) return;
      await whenConfirmed(timeoutMs);
    },
    identify(call) {
      const configurationAgeMs = getConfigurationAgeMs();
      const caller = identifyCaller({
        queue: call.queue,
        configuration: call.configuration,
        configurationAgeMs,
        maxConfigurationAgeMs,
        readKey: call.readKey,
      });
      if (caller.isErr) {
        onRefusal(caller.error);
        logRefusal(caller.error, call, configurationAgeMs);
      }
      return caller;
    },
  };
}
