import {
  RunViolation,
  RunViolationKind,
  checkRuns,
} from '../../src/history/workflows';
import {ExternalPlatform} from '../../src/stand_ins/external_platform';
import {FleetEvent, FleetEventKind} from '../../src/stand_ins/fleet';
import {MachineState, TaskEndKind, Workflow} from '../../src/types/workflow';
import {UNFOLLOWED} from './bad_callers';
import {BOUNDS} from './bounds';
import {Disturbances} from './disturbances';
import {FaultKind} from './fault';
import {Operator} from './operator';
import {SoakOrganisation} from './organisations';
import {Plants} from './plant';
import {Submission, listTasks} from './submission';
import {Check, Verdict} from './verdict';

/** What the hosts and machines saw, checked against what callers asked for. */
export interface RunHistory {
  /** Reads new events and checks what concerns single ones. */
  follow(): void;
  /** Checks the whole history. */
  checkAll(): void;
  /** Whether all tasks of a workflow have been done. */
  isDone(submission: Submission): boolean;
  /** Whether a task or gang of a workflow failed as often as it may. */
  hasFailed(submission: Submission): boolean;
  hasStarted(id: string): boolean;
  countStarts(): number;
  /** Stops following the reports of waves. */
  dispose(): void;
}

/** Options of a run history. */
export interface RunHistoryOptions {
  readonly platform: ExternalPlatform;
  readonly submissions: ReadonlyMap<string, Submission>;
  readonly operator: Operator;
  readonly plants: Plants;
  readonly disturbances: Disturbances;
  readonly verdict: Verdict;
}

/** Rules that hold only if no fault was near. */
const TIMED_KINDS: ReadonlySet<RunViolationKind> = new Set([
  RunViolationKind.NotRequested,
  RunViolationKind.OnLeavingHost,
  RunViolationKind.IncompleteGang,
  RunViolationKind.HoldersTooClose,
]);
/** Faults that excuse none of these rules. */
const NO_EXCUSE: ReadonlySet<FaultKind> = new Set([
  FaultKind.Configure,
  FaultKind.Grow,
  FaultKind.HostDrain,
]);

const REPORT_PREFIX = 'status/wave/';
const REPORT_WAIT_MS = 1_000;

/** Creates a history that has read no event yet. */
export function createRunHistory({
  platform,
  submissions,
  operator,
  plants,
  disturbances,
  verdict,
}: RunHistoryOptions): RunHistory {
  const {events} = platform.fleet;
  const started = new Set<string>();
  const done = new Set<string>();
  const failures = new Map<string, number>();
  const usage = new Map<SoakOrganisation, number>();
  const serviced = new Map<string, number>();
  let read = 0;
  let starts = 0;
  let disposed = false;

  function isExcused({kind, subject, at}: RunViolation): boolean {
    if (kind === RunViolationKind.Unavailable) {
      return !disturbances.isCalm(at - BOUNDS.contactMs, at);
    }
    if (!TIMED_KINDS.has(kind)) return false;
    const known = submissions.has(subject.split('.')[0]);
    if (kind === RunViolationKind.NotRequested && !known) return false;
    const fromMs = at - BOUNDS.contactMs - BOUNDS.cancelMs;
    return !disturbances.isCalm(fromMs, at, NO_EXCUSE);
  }

  /** Counts a run that starts or ends, and returns its organisation's usage. */
  function changeUsage(task: string, count: number): number {
    const [id, , step] = task.split('.');
    const {organisation, workflow} = submissions.get(id) ?? {};
    if (!organisation || !workflow) return 0;
    const {cpuMillis} = workflow.steps[Number(step)];
    const used = (usage.get(organisation) ?? 0) + count * cpuMillis;
    usage.set(organisation, used);
    return used;
  }

  function checkCap({task, hostId}: FleetEvent): void {
    const used = changeUsage(task, 1);
    const [id, , step] = task.split('.');
    const {organisation, workflow} = submissions.get(id) ?? {};
    const cap = organisation ? operator.getCap(organisation) : 0;
    if (!organisation || !workflow || cap === 0) return;
    const {cpuMillis} = workflow.steps[Number(step)];
    const limit = cap * (1 + BOUNDS.capOverage) + cpuMillis;
    const isPlanted = used > cpuMillis && plants.take(Check.Caps);
    if (used <= limit && !isPlanted) return;
    const detail = `${organisation.name} uses ${used} of ${cap} on ${hostId}`;
    verdict.report(Check.Caps, task, detail);
  }

  function checkWaves(): void {
    for (const {wave, machines, cap} of operator.waves) {
      const down = machines.filter(
        each =>
          platform.fleet.machines.get(each)?.state === MachineState.Maintenance,
      );
      if (down.length > cap) {
        const detail = `${down.join(', ')} are down, of which ${cap} may be`;
        verdict.report(Check.Waves, `limit of wave ${wave}`, detail);
      }
    }
  }

  /** Checks each report of a wave as it is written. */
  async function watchReports(): Promise<void> {
    const {keyValue} = platform;
    let {revision} = keyValue.list(REPORT_PREFIX);
    while (!disposed) {
      const seen = await keyValue.watch(
        REPORT_PREFIX,
        revision,
        REPORT_WAIT_MS,
      );
      revision = seen.revision;
      for (const {key, entry} of seen.changes) {
        if (entry?.value.includes('completed')) checkCompleted(key);
      }
    }
  }

  function checkCompleted(key: string): void {
    follow();
    const declared = operator.waves.find(
      ({wave}) => key === `${REPORT_PREFIX}${wave}`,
    );
    const missing = declared?.machines.filter(
      machine => !((serviced.get(machine) ?? 0) > declared.declaredAt),
    );
    if (missing?.length === 0) return;
    const detail = `completed without ${missing?.join(', ')}`;
    verdict.report(Check.Waves, key, detail);
  }

  function follow(): void {
    for (; read < events.length; read += 1) {
      const {kind, task, how, at, hostId} = events[read];
      const [id] = task.split('.');
      if (kind === FleetEventKind.Start) {
        checkCap(events[read]);
        starts += 1;
        started.add(id);
        if (submissions.get(id)?.refused) {
          verdict.report(Check.Refusals, id, `started on ${hostId}`);
        }
      }
      if (kind === FleetEventKind.End || kind === FleetEventKind.Lost) {
        changeUsage(task, -1);
      }
      if (kind === FleetEventKind.End && how === TaskEndKind.Done) {
        done.add(task);
      }
      if (kind === FleetEventKind.End && how === TaskEndKind.Failed) {
        const unit = getAttemptUnit(task, submissions.get(id)?.workflow);
        failures.set(unit, (failures.get(unit) ?? 0) + 1);
      }
      if (kind === FleetEventKind.Order) {
        const [state, machine] = task.split(' ');
        if (state === MachineState.Maintenance) serviced.set(machine, at);
      }
    }
    checkWaves();
  }

  void watchReports();
  return {
    follow,
    checkAll() {
      const cancelledAt = new Map<string, number>();
      const cancelSentAt = new Map<string, number>();
      for (const submission of submissions.values()) {
        const {id, cancelSentAt: sentAt, cancelledAt: at} = submission;
        if (sentAt !== undefined) cancelSentAt.set(id, sentAt);
        if (at !== undefined) cancelledAt.set(id, at);
      }
      const violations = checkRuns(events, {
        workflows: new Map(
          [...submissions].map(([id, {workflow}]) => [id, workflow]),
        ),
        cancelledAt,
        cancelSentAt,
        cancelMs: BOUNDS.cancelMs,
        hosts: platform.fleet.hosts,
        drainMs: BOUNDS.drainMs,
        noticeMs: BOUNDS.noticeMs,
        holderGapMs: BOUNDS.holderGapMs,
      });
      for (const violation of violations) {
        const {kind, subject, at} = violation;
        if (subject.startsWith(UNFOLLOWED) || isExcused(violation)) continue;
        verdict.report(Check.Runs, `${kind} ${subject}`, `at ${at} ms`);
      }
    },
    isDone: ({workflow}) => listTasks(workflow).every(task => done.has(task)),
    hasFailed: ({workflow}) =>
      listTasks(workflow).some(
        task =>
          (failures.get(getAttemptUnit(task, workflow)) ?? 0) >=
          workflow.maxAttempts,
      ),
    hasStarted: id => started.has(id),
    countStarts: () => starts,
    dispose() {
      disposed = true;
    },
  };
}

/** Returns what attempts are counted for: a gang, or a single task. */
function getAttemptUnit(task: string, workflow: Workflow | undefined): string {
  const step = workflow?.steps[Number(task.split('.')[2])];
  return step?.gang ? task.slice(0, task.lastIndexOf('.')) : task;
}
