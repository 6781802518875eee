import {Telemetry, describeProcess} from '../telemetry';
import {EntryHost} from '../wiring';
import {ExitCode} from './exit_code';

/** The process of an entry host: its signals, its errors and its exit. */
export interface EntryProcess {
  /** Sets the entry host once it has started. */
  setEntry(entry: EntryHost): void;
}

const STOP_SIGNALS: readonly NodeJS.Signals[] = ['SIGTERM', 'SIGINT', 'SIGHUP'];
/** Signals without a meaning here, each of which ends a process by default. */
const IGNORED_SIGNALS: readonly NodeJS.Signals[] = [
  'SIGUSR2',
  'SIGALRM',
  'SIGVTALRM',
  'SIGXCPU',
  'SIGIO',
  'SIGPWR',
];

/**
 * Handles the signals of the process and the errors that nothing else handles,
 * and logs why the process exits.
 *
 * The first signal begins a planned stop; further ones are ignored, as the stop
 * is limited in time. An unexpected error ends the terms of this member, whose
 * state may no longer be sound, but not the process.
 *
 * @param telemetry receives the errors and the reason of the exit
 * @param onStopped called after a planned stop
 */
export function handleProcessEvents(
  {log, errors}: Telemetry,
  onStopped: () => void,
): EntryProcess {
  let entry: EntryHost | undefined;
  let cause = 'no more work';
  let stopping = false;

  async function stop(signal: NodeJS.Signals): Promise<void> {
    log.info('stop requested', {signal, ignored: stopping});
    if (stopping) return;
    stopping = true;
    cause = signal;
    try {
      await entry?.stop();
      onStopped();
      process.exit(ExitCode.Done);
    } catch (error) {
      errors.report('stop', error);
      process.exit(ExitCode.Failed);
    }
  }

  for (const signal of STOP_SIGNALS) {
    process.on(signal, () => void stop(signal));
  }
  for (const signal of IGNORED_SIGNALS) process.on(signal, () => {});
  process.on('uncaughtException', (error, origin) => {
    errors.report(origin, error);
    entry?.endTerms(origin);
  });
  process.on('exit', code => {
    log.warn('end', {code, cause, ...describeProcess()});
  });

  return {
    setEntry(started) {
      entry = started;
    },
  };
}
