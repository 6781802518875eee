import {ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';

/** A child process that runs the built program. */
export interface Child {
  readonly process: ChildProcess;
  /**
   * Sends a signal, waits for the exit and returns the exit code; null if a
   * signal ended the process.
   */
  end(signal?: NodeJS.Signals): Promise<number | null>;
}

const PROGRAM = 'dist/main.cjs';

/**
 * Starts the built program as a child process.
 *
 * @param args command-line arguments
 * @param onLine called with each line of standard output
 */
export function startChild(
  args: readonly string[],
  onLine: (line: string) => void = () => {},
): Child {
  const child = spawn(process.execPath, [PROGRAM, ...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  let partialLine = '';
  child.stdout.on('data', (chunk: Buffer) => {
    const lines = (partialLine + chunk.toString()).split('\n');
    partialLine = lines.pop() ?? '';
    lines.forEach(onLine);
  });

  return {
    process: child,
    async end(signal = 'SIGTERM') {
      if (child.exitCode !== null || child.signalCode !== null) {
        return child.exitCode;
      }
      const exited = once(child, 'exit');
      child.kill(signal);
      await exited;
      return child.exitCode;
    },
  };
}
