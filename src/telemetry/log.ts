import './enable_log';
import {Roarr} from 'roarr';
import {LogLevel} from './log_level';

/** Writes log lines that share a fixed context. */
export interface Log {
  debug(message: string, context?: LogContext): void;
  info(message: string, context?: LogContext): void;
  warn(message: string, context?: LogContext): void;
  error(message: string, context?: LogContext): void;
}

/** Fields of one log line. */
export type LogContext = Readonly<
  Record<string, string | number | boolean | undefined>
>;

const LEVELS: readonly LogLevel[] = [
  LogLevel.Debug,
  LogLevel.Info,
  LogLevel.Warn,
  LogLevel.Error,
];

/** The state that Roarr shares with the program. */
interface RoarrState {
  write: (line: string) => void;
  /** Removes Roarr's listener from standard output. */
  teardown?: () => void;
}

const {ROARR} = globalThis as unknown as {ROARR: RoarrState};

/**
 * Sets the function that receives every log line of the process.
 *
 * @param write called with each line as JSON text; handles errors of its output
 */
export function setLogSink(write: (line: string) => void): void {
  ROARR.write = write;
  // The listener throws every error of standard output but EPIPE.
  ROARR.teardown?.();
  ROARR.teardown = undefined;
}

ROARR.write = () => {
  // Discards log lines until the program sets a sink.
};

/**
 * Creates a log that adds a context to each line.
 *
 * @param context fields that every line has
 * @param minLevel minimum level of the lines that are written
 */
export function createLog(context: LogContext, minLevel: LogLevel): Log {
  const logger = Roarr.child({...context});
  const enabled = (level: LogLevel) =>
    LEVELS.indexOf(level) >= LEVELS.indexOf(minLevel);
  return {
    debug(message, fields = {}) {
      if (enabled(LogLevel.Debug)) logger.debug({...fields}, message);
    },
    info(message, fields = {}) {
      if (enabled(LogLevel.Info)) logger.info({...fields}, message);
    },
    warn(message, fields = {}) {
      if (enabled(LogLevel.Warn)) logger.warn({...fields}, message);
    },
    error(message, fields = {}) {
      if (enabled(LogLevel.Error)) logger.error({...fields}, message);
    },
  };
}
