import {delay} from '../../src/state';
import {EntryProcess, ProcessSite} from '../shared';

/** Injects faults into a process site until it is stopped. */
export interface ClaimFaults {
  /** Number of injected faults by name. */
  readonly injectedCounts: Readonly<Record<string, number>>;
  /** Stops injecting faults and waits until all entry hosts are running. */
  stop(): Promise<void>;
}

/**
 * Time for which an entry host is paused, in ms; longer than a member's lease,
 * so that the lease expires.
 */
const PAUSE_MS = 4_500;
const FAULT_INTERVAL_MS = 700;
const LOST_ANSWERS_MS = 1_500;
const STORE_DOWN_MS = 700;
const LOST_ANSWER_RATIO = 0.4;
const SILENT_WORKER_COUNT = 8;

/**
 * Injects the kinds of faults in turn: killed and paused entry hosts, lost
 * store answers, silent connections and store outages.
 *
 * @param site the site to inject faults into
 * @param random source of random numbers from 0 to below 1, which selects the
 *     target of each fault
 * @param progress called with the name of each fault
 */
export function startClaimFaults(
  site: ProcessSite,
  random: () => number,
  progress: (line: string) => void,
): ClaimFaults {
  const injectedCounts: Record<string, number> = {};
  const abort = new AbortController();
  const pendingFaults = new Set<Promise<void>>();

  const faults: Readonly<Record<string, () => Promise<void>>> = {
    'entry killed': () => runInBackground(kill),
    'entry paused': () => runInBackground(pause),
    'store answers lost': loseAnswers,
    'connections silent': silenceConnections,
    'store down': takeStoreDown,
  };

  async function injectFaults(): Promise<void> {
    const names = Object.keys(faults);
    for (let i = 0; !abort.signal.aborted; i += 1) {
      await delay(FAULT_INTERVAL_MS, abort.signal);
      if (abort.signal.aborted) return;
      const name = names[i % names.length];
      injectedCounts[name] = (injectedCounts[name] ?? 0) + 1;
      progress(name);
      await faults[name]();
    }
  }

  async function runInBackground(
    fault: (entry: EntryProcess) => Promise<void>,
  ): Promise<void> {
    const done = fault(pick(site.entries)).finally(() =>
      pendingFaults.delete(done),
    );
    pendingFaults.add(done);
  }

  async function kill(entry: EntryProcess): Promise<void> {
    entry.child.process.kill('SIGCONT');
    await entry.child.end('SIGKILL');
    await entry.restart();
  }

  async function pause(entry: EntryProcess): Promise<void> {
    const {process} = entry.child;
    process.kill('SIGSTOP');
    await delay(PAUSE_MS);
    process.kill('SIGCONT');
  }

  async function loseAnswers(): Promise<void> {
    await site.setStoreFaults({lostAnswers: LOST_ANSWER_RATIO});
    await delay(LOST_ANSWERS_MS);
    await site.setStoreFaults({lostAnswers: 0});
  }

  async function silenceConnections(): Promise<void> {
    for (let i = 0; i < SILENT_WORKER_COUNT; i += 1) {
      const silentConnections = true;
      await site.setWorkerFaults(pick(site.hosts), {silentConnections});
    }
  }

  async function takeStoreDown(): Promise<void> {
    await site.setStoreFaults({down: true});
    await delay(STORE_DOWN_MS);
    await site.setStoreFaults({down: false});
  }

  function pick<T>(items: readonly T[]): T {
    return items[Math.floor(random() * items.length)];
  }

  const injecting = injectFaults();

  return {
    injectedCounts,
    async stop() {
      abort.abort();
      await injecting;
      await Promise.all(pendingFaults);
    },
  };
}
