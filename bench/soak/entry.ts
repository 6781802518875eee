import {ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {appendFileSync, createWriteStream, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {delay} from '../../src/state';
import {
  CALLER_PORT,
  PlatformAddresses,
  READY_PORT,
  writeEntrySettings,
} from '../workflows/entry_process';

/** An entry host whose process is signalled and started again. */
export interface Entry {
  readonly index: number;
  readonly name: string;
  /** Address and port for callers, without a proxy. */
  readonly callersAddress: string;
  /** Number of the process; grows with each start. */
  readonly incarnation: number;
  /** Whether the running process was asked to stop or was killed. */
  readonly stopping: boolean;
  start(): void;
  signal(signal: NodeJS.Signals): void;
  /** Changes the settings file and announces it with SIGHUP. */
  reload(): void;
  /** Kills the process as if it had ended by itself; a planted fault. */
  killUnasked(): void;
  /** Whether a process runs. */
  isRunning(): boolean;
  /** Resolves to whether the process has ended within the time. */
  awaitExit(withinMs: number): Promise<boolean>;
  isReady(): Promise<boolean>;
  /** Whether the process runs and was ready once. */
  isServing(): boolean;
  /** Returns the peak memory of the process in MB; 0 if none runs. */
  dispose(): Promise<void>;
}

/** Options of an entry host. */
export interface EntryOptions {
  readonly index: number;
  readonly ip: string;
  readonly platform: PlatformAddresses;
  /** Folder for settings and logs. */
  readonly folder: string;
  /** Called if the process ends without having been asked to. */
  readonly onUnexpectedExit: (index: number) => void;
}

/** Callers belong to organisations, which have keys and caps. */
const CONTRACTS = ['tenants', 'quota', 'pressure'];
const READY_TIMEOUT_MS = 500;

/** Creates an entry host; the caller starts it. */
export function createEntry({
  index,
  ip,
  platform,
  folder,
  onUnexpectedExit,
}: EntryOptions): Entry {
  const name = `entry-${index + 1}`;
  const settings = join(folder, `${name}.conf`);
  writeFileSync(settings, writeEntrySettings(platform, ip, index, CONTRACTS));
  const log = createWriteStream(join(folder, `${name}.log`));
  let child: ChildProcess | undefined;
  let incarnation = 0;
  let stopping = false;
  let serving = false;
  let disposed = false;

  function start(): void {
    if (disposed) return;
    incarnation += 1;
    stopping = false;
    serving = false;
    const started = spawn(process.execPath, ['target/entry.cjs'], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {...process.env, SESAMEFRONT_SETTINGS: settings},
    });
    child = started;
    started.stdout.pipe(log, {end: false});
    started.stderr.pipe(log, {end: false});
    // A frozen process ends at a SIGKILL too.
    const killAtExit = () => started.kill('SIGKILL');
    process.on('exit', killAtExit);
    started.on('exit', (code, signal) => {
      process.off('exit', killAtExit);
      if (child !== started) return;
      child = undefined;
      log.write(`exit ${signal ?? code}\n`);
      if (!stopping) onUnexpectedExit(index);
    });
  }

  return {
    index,
    name,
    callersAddress: `${ip}:${CALLER_PORT}`,
    get incarnation() {
      return incarnation;
    },
    get stopping() {
      return stopping;
    },
    start,
    signal(signal) {
      if (signal === 'SIGTERM' || signal === 'SIGKILL') stopping = true;
      child?.kill(signal);
    },
    reload() {
      appendFileSync(settings, `changed=${performance.now()}\n`);
      child?.kill('SIGHUP');
    },
    killUnasked: () => void child?.kill('SIGKILL'),
    isRunning: () => child !== undefined,
    async awaitExit(withinMs) {
      const running = child;
      if (!running) return true;
      return Promise.race([
        once(running, 'exit').then(() => true),
        delay(withinMs).then(() => child !== running),
      ]);
    },
    async isReady() {
      const answer = await fetch(`http://${ip}:${READY_PORT}/-/ready`, {
        signal: AbortSignal.timeout(READY_TIMEOUT_MS),
      }).catch(() => undefined);
      serving ||= answer?.status === 200;
      return answer?.status === 200;
    },
    isServing: () => serving && child !== undefined,
    async dispose() {
      disposed = true;
      stopping = true;
      const running = child;
      if (running) {
        const exited = once(running, 'exit');
        running.kill('SIGKILL');
        await exited;
      }
      log.end();
    },
  };
}
