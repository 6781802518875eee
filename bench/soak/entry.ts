import {ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {
  closeSync,
  createWriteStream,
  openSync,
  renameSync,
  writeFileSync,
} from 'node:fs';
import {join} from 'node:path';
import {delay} from '../../src/state';
import {
  CALLER_PORT,
  PlatformAddresses,
  READY_PORT,
  readRunArguments,
  writeEntrySettings,
} from '../workflows/entry_process';
import {BOUNDS} from './bounds';

/** What happens to what a process writes to its standard output. */
export enum Output {
  Read = 'read',
  /** A pipe that nobody reads. */
  Unread = 'unread',
  /** A pipe whose reader has gone away. */
  Closed = 'closed',
  /** A file on a device without space. */
  Full = 'full',
}

/** End of a process that nobody asked for. */
export interface OwnEnd {
  readonly index: number;
  /** Names the entry host and its process. */
  readonly label: string;
  readonly detail: string;
  /** Whether the process had been ready. */
  readonly wasReady: boolean;
}

/** An entry host whose process is signalled and started again. */
export interface Entry {
  readonly index: number;
  readonly name: string;
  readonly ip: string;
  /** Address and port for callers, without a proxy. */
  readonly callersAddress: string;
  /** Names the entry host and its running process. */
  readonly label: string;
  readonly pid: number | undefined;
  /** Number of the process; grows with each start. */
  readonly incarnation: number;
  /** Whether the running process was asked to stop or was killed. */
  readonly stopping: boolean;
  /** Starts a process; without settings, it can't serve: a planted fault. */
  start(withoutSettings?: boolean): void;
  /** Whether no process starts any more. */
  readonly disposed: boolean;
  /**
   * Starts a process beside the running one, which is stopped after some time
   * in ms.
   */
  replace(overlapMs: number): void;
  signal(signal: NodeJS.Signals): void;
  /** Changes the settings file and announces it with SIGHUP. */
  reload(): void;
  /**
   * Writes the settings file in two halves, or replaces it by renaming, and
   * announces each change with SIGHUP.
   */
  rewriteSettings(pauseMs: number, byRenaming: boolean): Promise<void>;
  /** Sets what happens to standard output, for this and later processes. */
  setOutput(output: Output): void;
  /** Kills the process as if it had ended by itself; a planted fault. */
  killUnasked(): void;
  /** Whether a process runs. */
  isRunning(): boolean;
  /** Resolves to whether the process has ended within the time. */
  awaitExit(withinMs: number): Promise<boolean>;
  isReady(): Promise<boolean>;
  /** Whether the readiness check gets any answer within a time in ms. */
  isAnswering(withinMs: number): Promise<boolean>;
  /** Whether the process runs and was ready once. */
  isServing(): boolean;
  dispose(): Promise<void>;
}

/** Options of an entry host. */
export interface EntryOptions {
  readonly index: number;
  readonly ip: string;
  readonly platform: PlatformAddresses;
  /** Folder for settings and logs. */
  readonly folder: string;
  readonly onOwnEnd: (end: OwnEnd) => void;
}

/** Callers belong to organisations, which have keys and caps. */
const CONTRACTS = ['tenants', 'quota', 'pressure'];
const READY_TIMEOUT_MS = 500;
const GRACE_MS = BOUNDS.graceMs;

/** Creates an entry host; the caller starts it. */
export function createEntry({
  index,
  ip,
  platform,
  folder,
  onOwnEnd,
}: EntryOptions): Entry {
  const name = `entry-${index + 1}`;
  const settings = join(folder, `${name}.conf`);
  let text = writeEntrySettings(platform, ip, index, CONTRACTS);
  writeFileSync(settings, text);
  const log = createWriteStream(join(folder, `${name}.log`));
  let child: ChildProcess | undefined;
  let incarnation = 0;
  let serving = false;
  let disposed = false;
  let output = Output.Read;
  /** Running processes; those that were asked to end are in the second set. */
  const running = new Set<ChildProcess>();
  const asked = new Set<ChildProcess>();

  function start(withoutSettings = false): void {
    if (disposed) return;
    incarnation += 1;
    serving = false;
    const label = getLabel();
    const startedAt = performance.now();
    const sink = output === Output.Full ? openSync('/dev/full', 'w') : 'pipe';
    const started = spawn(process.execPath, readRunArguments(), {
      stdio: ['ignore', sink, 'pipe'],
      env: {
        ...process.env,
        SESAMEFRONT_SETTINGS: withoutSettings ? '' : settings,
      },
    });
    if (typeof sink === 'number') closeSync(sink);
    child = started;
    running.add(started);
    connectOutput();
    started.stderr?.pipe(log, {end: false});
    // A frozen process ends at a SIGKILL too.
    const killAtExit = () => started.kill('SIGKILL');
    process.on('exit', killAtExit);
    started.on('exit', (code, signal) => {
      process.off('exit', killAtExit);
      running.delete(started);
      const wasReady = child === started && serving;
      if (child === started) child = undefined;
      const afterMs = Math.round(performance.now() - startedAt);
      log.write(`${label}: exit ${signal ?? code} after ${afterMs} ms\n`);
      const hasObeyed =
        asked.has(started) &&
        (code === 0 || signal === 'SIGTERM' || signal === 'SIGKILL');
      if (disposed || hasObeyed) return;
      const detail = `ended by itself with ${signal ?? code} after ${afterMs} ms`;
      onOwnEnd({index, label, detail, wasReady});
    });
  }

  function getLabel(): string {
    return `entry ${index + 1}, process ${incarnation}`;
  }

  function connectOutput(): void {
    const stdout = child?.stdout;
    if (!stdout) return;
    stdout.unpipe(log);
    if (output === Output.Read) stdout.pipe(log, {end: false});
    if (output === Output.Unread) stdout.pause();
    if (output === Output.Closed) stdout.destroy();
  }

  function send(target: ChildProcess | undefined, signal: NodeJS.Signals) {
    const ends = signal === 'SIGTERM' || signal === 'SIGKILL';
    if (target && ends) asked.add(target);
    target?.kill(signal);
  }

  /** Announces changed settings; a process that has not started yet reads them. */
  function announce(): void {
    if (serving) child?.kill('SIGHUP');
  }

  async function fetchReadiness(withinMs: number): Promise<number> {
    const answer = await fetch(`http://${ip}:${READY_PORT}/-/ready`, {
      signal: AbortSignal.timeout(withinMs),
    }).catch(() => undefined);
    return answer?.status ?? 0;
  }

  return {
    index,
    name,
    ip,
    callersAddress: `${ip}:${CALLER_PORT}`,
    get incarnation() {
      return incarnation;
    },
    get label() {
      return getLabel();
    },
    get pid() {
      return child?.pid;
    },
    get disposed() {
      return disposed;
    },
    get stopping() {
      return child !== undefined && asked.has(child);
    },
    start,
    replace(overlapMs) {
      const previous = child;
      start();
      setTimeout(() => send(previous, 'SIGTERM'), overlapMs);
      setTimeout(() => send(previous, 'SIGKILL'), overlapMs + GRACE_MS);
    },
    signal: signal => send(child, signal),
    reload() {
      text += `changed=${performance.now()}\n`;
      writeFileSync(settings, text);
      announce();
    },
    async rewriteSettings(pauseMs, byRenaming) {
      const half = byRenaming ? `${settings}.new` : settings;
      writeFileSync(half, text.slice(0, text.length / 2));
      announce();
      await delay(pauseMs);
      writeFileSync(half, text);
      if (byRenaming) renameSync(half, settings);
      announce();
    },
    setOutput(chosen) {
      output = chosen;
      connectOutput();
    },
    killUnasked: () => void child?.kill('SIGKILL'),
    isRunning: () => child !== undefined,
    async awaitExit(withinMs) {
      const current = child;
      if (!current) return true;
      return Promise.race([
        once(current, 'exit').then(() => true),
        delay(withinMs).then(() => child !== current),
      ]);
    },
    async isReady() {
      const current = child;
      const status = await fetchReadiness(READY_TIMEOUT_MS);
      // An earlier process that still runs may have answered.
      const isOwn = child === current && running.size === 1;
      serving ||= isOwn && status === 200;
      return isOwn && status === 200;
    },
    isAnswering: async withinMs => (await fetchReadiness(withinMs)) !== 0,
    isServing: () => serving && child !== undefined,
    async dispose() {
      disposed = true;
      const exits = [...running].map(each => once(each, 'exit'));
      for (const each of running) each.kill('SIGKILL');
      await Promise.all(exits);
      log.end();
    },
  };
}
