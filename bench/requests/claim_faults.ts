import {delay} from '../../src/state';
import {EntryProcess, ProcessSite} from '../shared';

/** Causes faults at a site of processes until it is told to stop. */
export interface ClaimFaults {
  /** Faults caused so far, by name. */
  readonly caused: Readonly<Record<string, number>>;
  /** Stops causing faults and waits until all entry hosts run again. */
  stop(): Promise<void>;
}

/** Longer than a member's lease, in ms. */
const PAUSE_MS = 4_500;
const GAP_MS = 700;
const LOST_MS = 1_500;
const DOWN_MS = 700;
const LOST_SHARE = 0.4;
const SILENT_WORKERS = 8;

/**
 * Kills, pauses and cuts off parts of a site in turn.
 *
 * @param site the site
 * @param random chooses where each fault strikes
 * @param progress told of each fault
 */
export function startClaimFaults(
  site: ProcessSite,
  random: () => number,
  progress: (line: string) => void,
): ClaimFaults {
  const caused: Record<string, number> = {};
  const abort = new AbortController();
  const repairs = new Set<Promise<void>>();

  const faults: Readonly<Record<string, () => Promise<void>>> = {
    'entry killed': () => repair(kill),
    'entry paused': () => repair(pause),
    'store answers lost': loseAnswers,
    'connections silent': silence,
    'store down': takeStoreDown,
  };

  async function run(): Promise<void> {
    const names = Object.keys(faults);
    for (let i = 0; !abort.signal.aborted; i += 1) {
      await delay(GAP_MS, abort.signal);
      if (abort.signal.aborted) return;
      const name = names[i % names.length];
      caused[name] = (caused[name] ?? 0) + 1;
      progress(name);
      await faults[name]();
    }
  }

  async function repair(
    fault: (entry: EntryProcess) => Promise<void>,
  ): Promise<void> {
    const done = fault(pick(site.entries)).finally(() => repairs.delete(done));
    repairs.add(done);
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
    await site.setStoreFaults({lostAnswers: LOST_SHARE});
    await delay(LOST_MS);
    await site.setStoreFaults({lostAnswers: 0});
  }

  async function silence(): Promise<void> {
    for (let i = 0; i < SILENT_WORKERS; i += 1) {
      const silentConnections = true;
      await site.setWorkerFaults(pick(site.hosts), {silentConnections});
    }
  }

  async function takeStoreDown(): Promise<void> {
    await site.setStoreFaults({down: true});
    await delay(DOWN_MS);
    await site.setStoreFaults({down: false});
  }

  function pick<T>(items: readonly T[]): T {
    return items[Math.floor(random() * items.length)];
  }

  const running = run();

  return {
    caused,
    async stop() {
      abort.abort();
      await running;
      await Promise.all(repairs);
    },
  };
}
