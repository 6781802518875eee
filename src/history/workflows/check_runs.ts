import {FleetEvent, FleetEventKind} from '../../stand_ins/fleet';
import {Step, TaskEndKind, TaskHost, Workflow} from '../../types/workflow';
import {
  AvailabilityExpectations,
  checkAvailability,
} from './check_availability';
import {RunViolation, RunViolationKind} from './run_violation';

/**
 * Submitted workflows, cancellations, hosts and time limits that a history is
 * checked against.
 */
export interface RunExpectations extends AvailabilityExpectations {
  /**
   * Monotonic time in ms at which a cancellation was acknowledged, by workflow
   * id.
   */
  readonly cancelledAt: ReadonlyMap<string, number>;
  /**
   * Maximum time in ms after that acknowledgement at which a run may still
   * start.
   */
  readonly cancelMs: number;
  /** Host incarnations by id, including those that have ended. */
  readonly hosts: ReadonlyMap<string, {readonly host: TaskHost}>;
  /**
   * Maximum time in ms after a host announced that it is leaving at which a run
   * may still start on it.
   */
  readonly drainMs: number;
  /**
   * Minimum time in ms between orders of different holders for the same
   * machine.
   */
  readonly holderGapMs: number;
}

interface TaskHistory {
  /** Host ids by run. */
  readonly activeRuns: Map<string, string>;
  /** Whether a run of the task has completed. */
  done: boolean;
  /** Whether the end of a completed run was acknowledged. */
  doneAcknowledged: boolean;
  /** Ends of completed runs that were not acknowledged yet. */
  readonly unacknowledgedDone: UnacknowledgedEnd[];
  /** Number of failed runs whose end was acknowledged. */
  failures: number;
}

/** A run end that the host has reported but that was not acknowledged yet. */
interface UnacknowledgedEnd {
  readonly number: number;
  readonly history: TaskHistory;
  readonly kind: TaskEndKind;
  /** First start of the task after this end. */
  followedBy: FleetEvent | undefined;
  /** Whether the lease of the host has expired since. */
  lapsed: boolean;
}

/**
 * Checks the task runs and machine orders that a fleet recorded.
 *
 * @param events events of the fleet, in chronological order
 * @param expectations workflows, hosts and time limits to check against
 * @returns all violations
 */
export function checkRuns(
  events: readonly FleetEvent[],
  expectations: RunExpectations,
): readonly RunViolation[] {
  const {workflows, cancelledAt, cancelMs} = expectations;
  const violations: RunViolation[] = [];
  const tasks = new Map<string, TaskHistory>();
  const ends = new Map<string, UnacknowledgedEnd[]>();
  const endCounts = new Map<string, number>();
  const leavingAt = new Map<string, number>();

  function getHistory(task: string): TaskHistory {
    let history = tasks.get(task);
    if (!history) {
      history = {
        activeRuns: new Map(),
        done: false,
        doneAcknowledged: false,
        unacknowledgedDone: [],
        failures: 0,
      };
      tasks.set(task, history);
    }
    return history;
  }

  function report(kind: RunViolationKind, event: FleetEvent): void {
    const subject = `${event.task}/${event.run} on ${event.hostId}`;
    violations.push({kind, subject, at: event.at});
  }

  function checkStart(event: FleetEvent): void {
    const history = getHistory(event.task);
    const [id, , stepIndex] = event.task.split('.');
    const workflow = workflows.get(id);
    if (!workflow) return report(RunViolationKind.NotRequested, event);
    const step = workflow.steps[Number(stepIndex)];
    if (history.activeRuns.size > 0) report(RunViolationKind.Overlap, event);
    if (history.doneAcknowledged && !step.lasting) {
      report(RunViolationKind.RanAgain, event);
    }
    if (!step.lasting) {
      for (const end of history.unacknowledgedDone) end.followedBy ??= event;
    }
    if (!step.lasting && history.failures >= workflow.maxAttempts) {
      report(RunViolationKind.TooManyAttempts, event);
    }
    if (!isReady(workflow, event.task)) {
      report(RunViolationKind.TooEarly, event);
    }
    if (!isEligibleHost(event, workflow, step)) {
      report(RunViolationKind.WrongHost, event);
    }
    const leaving = leavingAt.get(event.hostId);
    if (leaving !== undefined && event.at > leaving + expectations.drainMs) {
      report(RunViolationKind.OnLeavingHost, event);
    }
    const cancelled = cancelledAt.get(id);
    if (cancelled !== undefined && event.at > cancelled + cancelMs) {
      report(RunViolationKind.NotRequested, event);
    }
    history.activeRuns.set(`${event.hostId}/${event.run}`, event.hostId);
  }

  function isEligibleHost(
    {hostId, task}: FleetEvent,
    {pool}: Workflow,
    {label, perHostLimit}: Step,
  ): boolean {
    const host = expectations.hosts.get(hostId)?.host;
    if (host?.pool !== pool) return false;
    if (label !== '' && !host.labels.includes(label)) return false;
    if (perHostLimit === 0) return true;
    const group = task.slice(0, task.lastIndexOf('.') + 1);
    let othersOnHost = 0;
    for (const [name, {activeRuns}] of tasks) {
      if (name === task || !name.startsWith(group)) continue;
      if ([...activeRuns.values()].includes(hostId)) othersOnHost += 1;
    }
    return othersOnHost < perHostLimit;
  }

  function isReady(workflow: Workflow, task: string): boolean {
    const [id, occurrence, stepIndex] = task.split('.');
    return workflow.steps[Number(stepIndex)].after.every(earlier =>
      Array.from({length: workflow.steps[earlier].taskCount}).every(
        (_, index) =>
          tasks.get(`${id}.${occurrence}.${earlier}.${index}`)?.done,
      ),
    );
  }

  function recordEnd(event: FleetEvent): void {
    const history = getHistory(event.task);
    history.activeRuns.delete(`${event.hostId}/${event.run}`);
    if (event.how === TaskEndKind.Done) history.done = true;
    if (event.how === TaskEndKind.GangIncomplete)
      report(RunViolationKind.IncompleteGang, event);
    const number = (endCounts.get(event.hostId) ?? 0) + 1;
    endCounts.set(event.hostId, number);
    const pending = ends.get(event.hostId) ?? [];
    const kind = event.how ?? TaskEndKind.Stopped;
    const end = {number, history, kind, followedBy: undefined, lapsed: false};
    pending.push(end);
    if (kind === TaskEndKind.Done) history.unacknowledgedDone.push(end);
    ends.set(event.hostId, pending);
  }

  /**
   * An end that is acknowledged late must not have been followed by a start,
   * unless the host's lease has expired in between.
   */
  function acknowledgeDone({history, followedBy, lapsed}: UnacknowledgedEnd) {
    history.doneAcknowledged = true;
    if (followedBy && !lapsed) report(RunViolationKind.RanAgain, followedBy);
  }

  function recordLapse({hostId}: FleetEvent): void {
    for (const end of ends.get(hostId) ?? []) end.lapsed = true;
  }

  function acknowledgeEnds({hostId, run: lastNumber}: FleetEvent): void {
    const pending = ends.get(hostId) ?? [];
    for (const end of pending) {
      const {number, history, kind} = end;
      if (number > lastNumber) continue;
      if (kind === TaskEndKind.Done) acknowledgeDone(end);
      if (kind === TaskEndKind.Failed) history.failures += 1;
    }
    ends.set(
      hostId,
      pending.filter(({number}) => number > lastNumber),
    );
  }

  /** A host that starts again under its id lists no earlier ends. */
  function forgetHost({hostId}: FleetEvent): void {
    ends.delete(hostId);
    endCounts.delete(hostId);
    leavingAt.delete(hostId);
  }

  for (const event of events) {
    if (event.kind === FleetEventKind.Boot) forgetHost(event);
    if (event.kind === FleetEventKind.Start) checkStart(event);
    if (event.kind === FleetEventKind.End) recordEnd(event);
    if (event.kind === FleetEventKind.Leaving) {
      leavingAt.set(event.hostId, event.at);
    }
    if (event.kind === FleetEventKind.OverCapacity) {
      report(RunViolationKind.OverCapacity, event);
    }
    if (event.kind === FleetEventKind.Lapse) recordLapse(event);
    if (event.kind === FleetEventKind.Acknowledged) acknowledgeEnds(event);
    if (event.kind === FleetEventKind.Lost) {
      getHistory(event.task).activeRuns.delete(`${event.hostId}/${event.run}`);
    }
  }
  return [
    ...violations,
    ...checkHolders(events, expectations),
    ...checkAvailability(events, expectations),
  ];
}

function checkHolders(
  events: readonly FleetEvent[],
  {holderGapMs}: RunExpectations,
): readonly RunViolation[] {
  const latestOrders = new Map<string, FleetEvent>();
  const violations: RunViolation[] = [];
  for (const event of events) {
    if (event.kind !== FleetEventKind.Order) continue;
    const machine = event.task.split(' ')[1];
    const previous = latestOrders.get(machine);
    latestOrders.set(machine, event);
    if (!previous || previous.holder === event.holder) continue;
    const subject = `${event.task} by ${event.holder}`;
    if ((event.fence ?? 0) <= (previous.fence ?? 0)) {
      violations.push({
        kind: RunViolationKind.StaleFencingToken,
        subject,
        at: event.at,
      });
    }
    if (event.at - previous.at < holderGapMs) {
      violations.push({
        kind: RunViolationKind.HoldersTooClose,
        subject,
        at: event.at,
      });
    }
  }
  return violations;
}
