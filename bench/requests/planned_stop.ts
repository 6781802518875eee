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
const QUICK_ENTRIES = 2;
const CALLERS = 40;
const WORK_MS = 150;
const PAUSE_MS = 20;
const READY_POLL_MS = 100;
const SETTLE_MS = 300;
/** Time with traffic before the first stop, in ms. */
const WARM_UP_MS = 3_000;

/**
 * Load balancer that polls the readiness of the entry hosts, as the platform's
 * load balancer does.
 */
interface Balancer {
  /** Returns the ready entry hosts in turn; undefined if none is ready. */
  next(): EntryProcess | undefined;
  dispose(): void;
}

/**
 * Restarts the entry hosts one after the other under traffic and counts failed
 * requests.
 */
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
  let answeredCount = 0;
  let brokenCount = 0;
  let refusedCount = 0;
  let currentStep = 'starting';

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
      if (response.statusCode === 200) answeredCount += 1;
      else refusedCount += 1;
      if (response.statusCode !== 200) {
        progress(`refused at ${entry.id} while ${currentStep}: ${text}`);
      }
    } catch (error) {
      brokenCount += 1;
      progress(`request failed at ${entry.id}: ${(error as Error).message}`);
    }
  }

  const callers = Array.from({length: CALLERS}, async (_, i) => {
    for (let n = i; !abort.signal.aborted; n += 1) {
      await call(n);
      await delay(PAUSE_MS);
    }
  });
  const restarted = site.entries.slice(0, quick ? QUICK_ENTRIES : ENTRIES);
  let failedExits = 0;
  let maxStopMs = 0;
  await delay(WARM_UP_MS);
  for (const entry of restarted) {
    currentStep = `${entry.id} stops`;
    const startedAt = performance.now();
    const code = await entry.child.end('SIGTERM');
    maxStopMs = Math.max(maxStopMs, performance.now() - startedAt);
    if (code !== 0) failedExits += 1;
    currentStep = `${entry.id} restarts`;
    await entry.restart();
    currentStep = `${entry.id} is ready after its restart`;
    await delay(SETTLE_MS);
  }
  abort.abort();
  await Promise.all(callers);
  balancer.dispose();
  await agent.destroy();
  await site.dispose();
  progress(
    `${restarted.length} entry hosts restarted, ${answeredCount} answered, ` +
      `${refusedCount} refused, longest stop ${Math.round(maxStopMs)} ms`,
  );
  return [
    atMost('planned-stop-cut', brokenCount, 0),
    atMost('planned-stop-refused', refusedCount, 0),
    atMost('planned-stop-exits-failed', failedExits, 0),
    atLeast('planned-stop-answered', answeredCount, 1),
  ];
}

/** Runs the planned-stop part as a bench of its own. */
export const runPlannedStopBench: Bench = async options => ({
  bench: 'planned-stop',
  seed: options.seed,
  measures: await measurePlannedStop(options),
});

function createBalancer({entries}: ProcessSite): Balancer {
  let ready: readonly EntryProcess[] = entries;
  let calls = 0;

  async function poll(): Promise<void> {
    const readiness = await Promise.all(entries.map(isReady));
    ready = entries.filter((_, i) => readiness[i]);
  }

  const timer = setInterval(() => void poll(), READY_POLL_MS);

  return {
    next() {
      calls += 1;
      return ready[calls % ready.length];
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
