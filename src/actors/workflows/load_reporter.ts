import {
  BUSY_MS,
  LoadReport,
  OrganisationLoad,
  PoolLoad,
  RunTimes,
  SubmissionRates,
  TaskPhase,
  WorkflowRecord,
  getDrainTimes,
  isFinal,
  isOpen,
  measureDescription,
  measureTasks,
} from '../../decisions/workflows';
import {Organisation} from '../../types/workflow';
import {isReportDue} from './load_report_change';

/**
 * Publishes how long each pool needs to complete its accepted workflows, also
 * by organisation, and how many of each queue wait, for the entry hosts.
 */
export interface LoadReporter {
  /**
   * Publishes the load if it has changed substantially since the last report.
   */
  review(): Promise<void>;
}

/** Dependencies of a load reporter. */
export interface LoadReporterOptions {
  /** Workflows by id. */
  readonly records: ReadonlyMap<string, WorkflowRecord>;
  /**
   * Returns the thousandths of a processor that a pool has or could have.
   */
  readonly getPoolCpuMillis: (pool: string) => number;
  readonly runTimes: RunTimes;
  readonly rates: SubmissionRates;
  /** Returns the configured organisations by name. */
  readonly getOrganisations: () =>
    ReadonlyMap<string, Organisation> | undefined;
  /** Stores a report; resolves to false if it was not stored. */
  readonly publish: (report: LoadReport) => Promise<boolean>;
  /** Called when a workflow cannot be handled; it is left out from then on. */
  readonly onInvalid: (record: WorkflowRecord, error: unknown) => void;
  /** Returns the current Unix time in ms. */
  readonly unixNow: () => number;
}

/** Accepted work of one pool, in thousandths of a processor times ms. */
interface PoolWork {
  sum: number;
  readonly byOrganisation: Map<string, number>;
  readonly runTimeFactors: Record<string, number>;
}

/** Share of a pool's CPU that placement can use in practice. */
const USABLE_SHARE = 0.85;
/** Step for which each queue's run time factor is reported. */
const REFERENCE_STEP = {image: '', estimateMs: 1_000};

/**
 * Creates the reporter of a term. Its first report replaces that of the earlier
 * leader.
 *
 * @param options the workflows, the pools and the store
 */
export function createLoadReporter({
  records,
  getPoolCpuMillis,
  runTimes,
  rates,
  getOrganisations,
  publish,
  onInvalid,
  unixNow,
}: LoadReporterOptions): LoadReporter {
  let published: LoadReport | undefined;
  let publishedAt = -Infinity;
  let publishing = false;

  function measure(): LoadReport {
    const works = new Map<string, PoolWork>();
    const waiting: Record<string, number> = {};
    let tasks = 0;
    for (const record of records.values()) {
      if (record.isSetAside) continue;
      const {queue} = record.workflow;
      try {
        tasks += countHeldTasks(record);
        if (!isOpen(record)) continue;
        addWork(works, record);
      } catch (error) {
        onInvalid(record, error);
      }
      if (!record.begun) waiting[queue] = (waiting[queue] ?? 0) + 1;
    }
    const pools: Record<string, PoolLoad> = {};
    for (const [pool, work] of works) pools[pool] = measurePool(pool, work);
    return {pools, waiting, tasks};
  }

  /** Returns the tasks that a workflow takes memory for, now or later. */
  function countHeldTasks({workflow, state, groups}: WorkflowRecord): number {
    if (!isFinal(state)) return measureTasks(workflow);
    let sum = measureDescription(workflow);
    for (const group of groups.values()) sum += group.length;
    return sum;
  }

  function addWork(works: Map<string, PoolWork>, record: WorkflowRecord): void {
    const {pool, queue, organisation} = record.workflow;
    let work = works.get(pool);
    if (!work) {
      work = {sum: 0, byOrganisation: new Map(), runTimeFactors: {}};
      works.set(pool, work);
    }
    work.runTimeFactors[queue] ??=
      runTimes.estimate(queue, REFERENCE_STEP) / REFERENCE_STEP.estimateMs;
    const amount = measureWork(record);
    work.sum += amount;
    if (organisation === undefined) return;
    const own = work.byOrganisation.get(organisation) ?? 0;
    work.byOrganisation.set(organisation, own + amount);
  }

  function measurePool(
    pool: string,
    {sum, byOrganisation, runTimeFactors}: PoolWork,
  ): PoolLoad {
    const cpuMillis = Math.max(1, getPoolCpuMillis(pool) * USABLE_SHARE);
    const drainMs = Math.round(sum / cpuMillis);
    const configured = getOrganisations();
    if (!configured || configured.size === 0) return {drainMs, runTimeFactors};
    const backlogs = [...byOrganisation].map(([name, work]) => ({
      name,
      work,
      weight: configured.get(name)?.weight ?? 0,
      limit: configured.get(name)?.cap.cpuMillis ?? 0,
    }));
    const drains = getDrainTimes(backlogs, cpuMillis);
    const organisations: Record<string, OrganisationLoad> = {};
    for (const organisation of configured.values()) {
      const {name} = organisation;
      const ownMs = Math.round(drains.get(name) ?? 0);
      const excessMs =
        drainMs > BUSY_MS
          ? Math.ceil(rates.getExcessMs(organisation, unixNow()))
          : 0;
      if (ownMs < BUSY_MS && excessMs === 0) continue;
      organisations[name] = {
        drainMs: ownMs,
        ...(excessMs > 0 ? {excessMs} : {}),
      };
    }
    return {drainMs, runTimeFactors, organisations};
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

  return {
    async review() {
      if (publishing) return;
      const report = measure();
      const ageMs = performance.now() - publishedAt;
      if (published && !isReportDue(published, report, ageMs)) return;
      publishing = true;
      publishedAt = performance.now();
      try {
        if (await publish(report)) published = report;
      } finally {
        publishing = false;
      }
    },
  };
}
