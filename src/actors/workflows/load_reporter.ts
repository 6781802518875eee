import {
  LoadReport,
  PoolLoad,
  RunTimes,
  TaskPhase,
  WorkflowRecord,
  isFinal,
} from '../../decisions/workflows';

/**
 * Publishes how long each pool needs to complete its accepted workflows, and
 * how many of each queue wait, for the entry hosts.
 */
export interface LoadReporter {
  /**
   * Publishes the load if it has changed substantially since the last report.
   */
  review(): Promise<void>;
}

/** Minimum change of a pool's drain time, in ms, that triggers a new report. */
const MIN_DRAIN_CHANGE_MS = 500;
/**
 * Minimum time in ms between two reports that differ only in the numbers of
 * waiting workflows; callers accept numbers that are 2 s old.
 */
const WAITING_INTERVAL_MS = 1_000;
/** Share of a pool's CPU that placement can use in practice. */
const USABLE_SHARE = 0.85;
/** Step for which each queue's run time factor is reported. */
const REFERENCE_STEP = {image: '', estimateMs: 1_000};

/**
 * Creates the reporter of a term.
 *
 * @param records workflows by id
 * @param getPoolCpuMillis thousandths of a processor that a pool has or could
 *     have
 * @param runTimes learned run times
 * @param publish stores a report; resolves to false if it was not stored
 */
export function createLoadReporter(
  records: ReadonlyMap<string, WorkflowRecord>,
  getPoolCpuMillis: (pool: string) => number,
  runTimes: RunTimes,
  publish: (report: LoadReport) => Promise<boolean>,
): LoadReporter {
  let published: LoadReport = {pools: {}};
  let publishedAt = -Infinity;
  let publishing = false;

  function measure(): LoadReport {
    const work = new Map<string, number>();
    const factors = new Map<string, Record<string, number>>();
    const waiting: Record<string, number> = {};
    for (const record of records.values()) {
      if (isFinal(record.state)) continue;
      const {pool, queue} = record.workflow;
      const queues = factors.get(pool) ?? {};
      queues[queue] =
        runTimes.estimate(queue, REFERENCE_STEP) / REFERENCE_STEP.estimateMs;
      factors.set(pool, queues);
      work.set(pool, (work.get(pool) ?? 0) + measureWork(record));
      if (!record.begun) waiting[queue] = (waiting[queue] ?? 0) + 1;
    }
    const pools: Record<string, PoolLoad> = {};
    for (const [pool, sum] of work) {
      const drainMs = Math.round(
        sum / Math.max(1, getPoolCpuMillis(pool) * USABLE_SHARE),
      );
      pools[pool] = {drainMs, runTimeFactors: factors.get(pool) ?? {}};
    }
    return {pools, waiting};
  }

  /**
   * Returns a workflow's remaining work, in thousandths of a processor times
   * ms.
   */
  function measureWork({workflow, groups}: WorkflowRecord): number {
    let sum = 0;
    workflow.steps.forEach((step, index) => {
      if (step.lasting) return;
      const group = groups.get(`0.${index}`);
      const left = group
        ? group.filter(task => task.phase !== TaskPhase.Done).length
        : step.taskCount;
      const runMs = runTimes.estimate(workflow.queue, step);
      sum += left * step.cpuMillis * runMs;
    });
    return sum;
  }

  function isDue(report: LoadReport): boolean {
    if (hasChangedMuch(report)) return true;
    if (performance.now() < publishedAt + WAITING_INTERVAL_MS) return false;
    return hasOtherWaiting(report);
  }

  function hasOtherWaiting({waiting = {}}: LoadReport): boolean {
    const before = published.waiting ?? {};
    const queues = Object.keys({...before, ...waiting});
    return queues.some(queue => before[queue] !== waiting[queue]);
  }

  function hasChangedMuch({pools}: LoadReport): boolean {
    return Object.entries(pools).some(([pool, {drainMs}]) => {
      const before = published.pools[pool]?.drainMs ?? 0;
      return Math.abs(drainMs - before) > MIN_DRAIN_CHANGE_MS;
    });
  }

  return {
    async review() {
      if (publishing) return;
      const report = measure();
      if (!isDue(report)) return;
      publishing = true;
      publishedAt = performance.now();
      if (await publish(report)) published = report;
      publishing = false;
    },
  };
}
