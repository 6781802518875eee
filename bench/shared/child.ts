import {ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';

/** A process of the program that a bench started and ends. */
export interface Child {
  readonly process: ChildProcess;
  /** Ends the process with a signal and waits for it; returns its exit code. */
  end(signal?: NodeJS.Signals): Promise<number | null>;
}

const PROGRAM = 'dist/main.cjs';

/**
 * Starts the built program with arguments.
 *
 * @param args the command line
 * @param onLine told of each line of output
 */
export function startChild(
  args: readonly string[],
  onLine: (line: string) => void = () => {},
): Child {
  const child = spawn(process.execPath, [PROGRAM, ...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  let rest = '';
  child.stdout.on('data', (chunk: Buffer) => {
    const lines = (rest + chunk.toString()).split('\n');
    rest = lines.pop() ?? '';
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
