import {startChild} from '../shared';

/** What a finished command left. */
export interface CommandResult {
  readonly exitCode: number | null;
  /** The JSON object that it printed, if any. */
  readonly value: unknown;
}

/**
 * Runs one command of the program with JSON output to its end.
 *
 * @param args the command line without the output option
 */
export async function runCommand(
  args: readonly string[],
): Promise<CommandResult> {
  const lines: string[] = [];
  const child = startChild([...args, '--output', 'json'], line =>
    lines.push(line),
  );
  const exitCode = await new Promise<number | null>(resolve =>
    child.process.once('close', resolve),
  );
  const last = lines.at(-1);
  return {exitCode, value: last === undefined ? undefined : JSON.parse(last)};
}
