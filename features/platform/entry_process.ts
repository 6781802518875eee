import {ChildProcess, StdioOptions, spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {buildSync} from 'esbuild';
import {getLoopbackAddress} from '../support/loopback_address';

/** An entry host as a process of its own, with its settings file. */
export interface EntryProcess {
  readonly ip: string;
  readonly folder: string;
  /** What it has written to a piped standard output and error. */
  readonly output: string;
  /** Exit code or signal; undefined while it runs. */
  readonly end: number | string | undefined;
  /** Writes the settings, or the text of their file. */
  writeSettings(settings: Readonly<Record<string, string>> | string): void;
  start(options?: StartOptions): void;
  signal(signal: NodeJS.Signals): void;
  /** Returns the status of an answer; 0 if there is none. */
  call(port: number, path?: string): Promise<{status: number; text: string}>;
  dispose(): void;
}

/** How a process is started. */
export interface StartOptions {
  readonly stdio?: StdioOptions;
  /** Shell command that precedes the program, such as a limit. */
  readonly before?: string;
  /** Module that Node loads before the program. */
  readonly preload?: string;
}

export const CALLERS_PORT = 8624;
export const READY_PORT = 8622;
export const METRICS_PORT = 9464;

const CALL_TIMEOUT_MS = 2_000;
const DEFAULT_STDIO: StdioOptions = ['ignore', 'pipe', 'pipe'];

/** Number of addresses that processes use in turn. */
const MAX_ADDRESSES = 200;

let program: string | undefined;
/** Number of entry hosts created by this test process. */
let created = 0;

/** Builds the program once; returns its path. */
function build(): string {
  if (program !== undefined) return program;
  const folder = mkdtempSync(join(tmpdir(), 'sesamefront-program-'));
  process.on('exit', () => rmSync(folder, {recursive: true, force: true}));
  program = join(folder, 'entry.cjs');
  buildSync({
    entryPoints: ['platform/main.ts'],
    bundle: true,
    platform: 'node',
    format: 'cjs',
    outfile: program,
    logLevel: 'warning',
  });
  return program;
}

/** Creates an entry host that is not yet started, on a loopback address. */
export function createEntryProcess(): EntryProcess {
  const folder = mkdtempSync(join(tmpdir(), 'sesamefront-entry-'));
  created += 1;
  const ip = getLoopbackAddress(created % MAX_ADDRESSES);
  const path = join(folder, 'node.conf');
  let child: ChildProcess | undefined;
  let output = '';
  let end: number | string | undefined;

  return {
    ip,
    folder,
    get output() {
      return output;
    },
    get end() {
      return end;
    },
    writeSettings(settings) {
      if (typeof settings === 'string') return writeFileSync(path, settings);
      const lines = Object.entries(settings);
      writeFileSync(path, lines.map(pair => `${pair.join('=')}\n`).join(''));
    },
    start({stdio = DEFAULT_STDIO, before = ':', preload} = {}) {
      const words = ['--max-old-space-size=200', build()];
      if (preload !== undefined) words.unshift('--require', preload);
      const started = spawn(
        'bash',
        ['-c', `${before}; exec node ${words.join(' ')}`],
        {
          env: {PATH: process.env.PATH, SESAMEFRONT_SETTINGS: path},
          stdio,
        },
      );
      child = started;
      started.stdout?.on('data', (text: Buffer) => (output += text.toString()));
      started.stderr?.on('data', (text: Buffer) => (output += text.toString()));
      started.on(
        'close',
        (code, signal) => (end = signal ?? code ?? undefined),
      );
    },
    signal: signal => void child?.kill(signal),
    async call(port, path = '/') {
      try {
        const response = await fetch(`http://${ip}:${port}${path}`, {
          signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        });
        return {status: response.status, text: await response.text()};
      } catch {
        return {status: 0, text: ''};
      }
    },
    dispose() {
      child?.kill('SIGKILL');
      rmSync(folder, {recursive: true, force: true});
    },
  };
}
