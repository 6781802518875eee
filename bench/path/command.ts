import {startChild} from '../shared';

/** Result of a command that has exited. */
export interface CommandResult {
  readonly exitCode: number | null;
  /**
   * The value of the last line of output, which is JSON; undefined without
   * output.
   */
  readonly value: unknown;
}

/**
 * Runs a command of the program with JSON output and waits for its exit.
 *
 * @param args command-line arguments without the output option
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
