import {styleText} from 'node:util';

interface Line {
  readonly time: number;
  readonly message: string;
  readonly context: Readonly<Record<string, string | number | boolean>>;
}

const LEVEL_NAMES: Readonly<Record<number, string>> = {
  10: 'trace',
  20: 'debug',
  30: 'info',
  40: 'warn',
  50: 'error',
  60: 'fatal',
};

/**
 * Formats a JSON log line for reading at a terminal.
 *
 * @param json log line as JSON text
 * @param colour whether to use ANSI escape codes for colour
 */
export function formatLine(json: string, colour: boolean): string {
  const {time, message, context} = JSON.parse(json) as Line;
  const {logLevel, member, ...fields} = context;
  const level = LEVEL_NAMES[Number(logLevel)] ?? String(logLevel);
  const details = Object.entries(fields)
    .filter(([, value]) => value !== '')
    .map(([name, value]) => `${name}=${value}`)
    .join(' ');
  const at = new Date(time).toISOString();
  return `${at} ${formatLevel(level, colour)} ${member} ${message} ${details}`.trimEnd();
}

function formatLevel(level: string, colour: boolean): string {
  const text = level.padEnd(5);
  if (!colour) return text;
  if (level === 'error' || level === 'fatal') return styleText('red', text);
  if (level === 'warn') return styleText('yellow', text);
  return styleText('dim', text);
}
