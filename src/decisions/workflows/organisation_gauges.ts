import {OrganisationUsage} from './organisation_usage';
import {TaskPhase} from './task_record';
import {WorkflowRecord, isFinal} from './workflow_record';

/** Current load of an organisation. */
export interface OrganisationGauge {
  /** Its name; `OTHER_ORGANISATIONS` for the sum of all others. */
  readonly organisation: string;
  /** Thousandths of a processor of its runs. */
  readonly runningCpuMillis: number;
  /** Number of accepted workflows that have not ended. */
  readonly openWorkflows: number;
  /** Number of open workflows of which no task has started. */
  readonly waitingWorkflows: number;
  /** Longest time in ms that one of these has waited. */
  readonly longestWaitMs: number;
}

/** Label of all organisations that are not listed. */
export const OTHER_ORGANISATIONS = 'other';

/** Number of organisations listed for their size, and for their wait. */
const LISTED = 5;

/**
 * Returns the load of the largest organisations and of those that wait longest,
 * and the sum of the rest; bounds the number of time series.
 */
export function readOrganisationGauges(
  records: ReadonlyMap<string, WorkflowRecord>,
  usage: Pick<OrganisationUsage, 'get'>,
  unixNow: number,
): readonly OrganisationGauge[] {
  const gauges = new Map<string, OrganisationGauge>();
  for (const record of records.values()) {
    const {organisation} = record.workflow;
    if (organisation === undefined) continue;
    const isOpen = !isFinal(record.state);
    const isRunning = [...record.groups.values()].some(group =>
      group.some(({phase}) => phase !== TaskPhase.Waiting),
    );
    const isWaiting = isOpen && record.workflow.firstAt === 0 && !isRunning;
    const own: OrganisationGauge = {
      organisation,
      runningCpuMillis: usage.get(organisation).cpuMillis,
      openWorkflows: isOpen ? 1 : 0,
      waitingWorkflows: isWaiting ? 1 : 0,
      longestWaitMs: isWaiting ? Math.max(0, unixNow - record.acceptedAt) : 0,
    };
    const before = gauges.get(organisation);
    if (!before) gauges.set(organisation, own);
    else {
      const {runningCpuMillis} = before;
      gauges.set(organisation, {...add(before, own), runningCpuMillis});
    }
  }
  return summarize([...gauges.values()]);
}

function summarize(
  gauges: readonly OrganisationGauge[],
): readonly OrganisationGauge[] {
  const listed = new Set([
    ...[...gauges]
      .sort((a, b) => b.runningCpuMillis - a.runningCpuMillis)
      .slice(0, LISTED),
    ...[...gauges]
      .sort((a, b) => b.longestWaitMs - a.longestWaitMs)
      .slice(0, LISTED),
  ]);
  const others = gauges.filter(gauge => !listed.has(gauge));
  if (others.length === 0) return [...listed];
  const other = {...others.reduce(add), organisation: OTHER_ORGANISATIONS};
  return [...listed, other];
}

function add(a: OrganisationGauge, b: OrganisationGauge): OrganisationGauge {
  return {
    organisation: a.organisation,
    runningCpuMillis: a.runningCpuMillis + b.runningCpuMillis,
    openWorkflows: a.openWorkflows + b.openWorkflows,
    waitingWorkflows: a.waitingWorkflows + b.waitingWorkflows,
    longestWaitMs: Math.max(a.longestWaitMs, b.longestWaitMs),
  };
}
