import {Agent, request} from 'undici';
import {delay} from '../../src/state';
import {
  Bench,
  BenchOptions,
  EntryProcess,
  Measure,
  ProcessSite,
  atLeast,
  atMost,
  createProcessSite,
} from '../shared';

const FIRST_PORT = 23_200;
const ENTRIES = 7;
const QUICK_ENTRIES = 4;
const CALLERS = 40;
const WORK_MS = 150;
const PAUSE_MS = 20;
const READY_POLL_MS = 100;
const SETTLE_MS = 300;
/** Time under traffic before the first stop, in ms. */
const WARM_UP_MS = 3_000;

/** Follows the readiness of entry hosts as the platform's balancer does. */
interface Balancer {
  /** Returns a ready entry host, another one at each call. */
  next(): EntryProcess | undefined;
  dispose(): void;
}

/** Replaces every entry host in turn under traffic. */
export async function measurePlannedStop({
  quick,
  progress,
}: BenchOptions): Promise<readonly Measure[]> {
  const site = await createProcessSite({
    entries: ENTRIES,
    firstPort: FIRST_PORT,
  });
  const balancer = createBalancer(site);
  const agent = new Agent({connections: 64});
  const abort = new AbortController();
  let answered = 0;
  let cut = 0;
  let refused = 0;
  let step = 'starting';

  async function call(index: number): Promise<void> {
    const entry = balancer.next();
    if (!entry) return;
    const pool = site.site.pools[index % site.site.pools.length];
    const url = `${entry.callerUrl}/services/${pool.name}/bench`;
    try {
      const headers = {'work-ms': String(WORK_MS)};
      const response = await request(url, {dispatcher: agent, headers});
      const text = await response.body.text();
      if (response.statusCode === 200) JSON.parse(text);
      if (response.statusCode === 200) answered += 1;
      else refused += 1;
      if (response.statusCode !== 200) {
        progress(`refused at ${entry.id} while ${step}: ${text}`);
      }
    } catch (error) {
      cut += 1;
      progress(`cut at ${entry.id}: ${(error as Error).message}`);
    }
  }

  const callers = Array.from({length: CALLERS}, async (_, i) => {
    for (let n = i; !abort.signal.aborted; n += 1) {
      await call(n);
      await delay(PAUSE_MS);
    }
  });
  const replaced = site.entries.slice(0, quick ? QUICK_ENTRIES : ENTRIES);
  let failedExits = 0;
  let longestMs = 0;
  await delay(WARM_UP_MS);
  for (const entry of replaced) {
    step = `${entry.id} stops`;
    const startedAt = performance.now();
    const code = await entry.child.end('SIGTERM');
    longestMs = Math.max(longestMs, performance.now() - startedAt);
    if (code !== 0) failedExits += 1;
    step = `${entry.id} starts again`;
    await entry.restart();
    step = `${entry.id} is ready again`;
    await delay(SETTLE_MS);
  }
  abort.abort();
  await Promise.all(callers);
  balancer.dispose();
  await agent.destroy();
  await site.dispose();
  progress(
    `${replaced.length} entry hosts replaced, ${answered} answered, ` +
      `${refused} refused, longest stop ${Math.round(longestMs)} ms`,
  );
  return [
    atMost('planned-stop-cut', cut, 0),
    atMost('planned-stop-refused', refused, 0),
    atMost('planned-stop-exits-failed', failedExits, 0),
    atLeast('planned-stop-answered', answered, 1),
  ];
}

/** Runs the part by itself. */
export const runPlannedStopBench: Bench = async options => ({
  bench: 'planned-stop',
  seed: options.seed,
  measures: await measurePlannedStop(options),
});

function createBalancer({entries}: ProcessSite): Balancer {
  let ready: readonly EntryProcess[] = entries;
  let count = 0;

  async function poll(): Promise<void> {
    const seen = await Promise.all(entries.map(isReady));
    ready = entries.filter((_, i) => seen[i]);
  }

  const timer = setInterval(() => void poll(), READY_POLL_MS);

  return {
    next() {
      count += 1;
      return ready[count % ready.length];
    },
    dispose: () => clearInterval(timer),
  };
}

async function isReady({callerUrl}: EntryProcess): Promise<boolean> {
  try {
    const response = await request(`${callerUrl}/readyz`);
    await response.body.dump();
    return response.statusCode === 200;
  } catch {
    return false;
  }
}
