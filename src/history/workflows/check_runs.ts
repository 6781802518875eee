import {FleetEvent, FleetEventKind} from '../../stand_ins/fleet';
import {Step, TaskEndKind, TaskHost, Workflow} from '../../types/workflow';
import {RunViolation, RunViolationKind} from './run_violation';

/** What callers did and the operator allows. */
export interface RunExpectations {
  readonly workflows: ReadonlyMap<string, Workflow>;
  /** Steady time in ms of the answer to a cancellation, by workflow. */
  readonly cancelledAt: ReadonlyMap<string, number>;
  /** Longest time in ms from that answer to the last start. */
  readonly cancelMs: number;
  /** Hosts by id, with every life. */
  readonly hosts: ReadonlyMap<string, {readonly host: TaskHost}>;
  /** Longest time in ms from a host's announcement that it leaves to the last start there. */
  readonly drainMs: number;
  /** Least time in ms between orders of two holders for a machine. */
  readonly holderGapMs: number;
}

interface TaskHistory {
  readonly activeRuns: Map<string, string>;
  done: boolean;
  /** Its end was acknowledged. */
  doneAcknowledged: boolean;
  failures: number;
}

interface UnacknowledgedEnd {
  readonly number: number;
  readonly history: TaskHistory;
  readonly how: TaskEndKind;
}

/**
 * Checks the runs and machine orders that a fleet saw.
 *
 * @param events in the order in which they happened
 * @param expectations what was submitted and cancelled
 * @returns every broken promise
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
      history = {activeRuns: new Map(), done: false, doneAcknowledged: false, failures: 0};
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
    for (const [name, {activeRuns: open}] of tasks) {
      if (name === task || !name.startsWith(group)) continue;
      if ([...open.values()].includes(hostId)) othersOnHost += 1;
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
    if (event.how === TaskEndKind.Alone) report(RunViolationKind.IncompleteGang, event);
    const number = (endCounts.get(event.hostId) ?? 0) + 1;
    endCounts.set(event.hostId, number);
    const pending = ends.get(event.hostId) ?? [];
    pending.push({number, history, how: event.how ?? TaskEndKind.Stopped});
    ends.set(event.hostId, pending);
  }

  function acknowledgeEnds({hostId, run: lastNumber}: FleetEvent): void {
    const pending = ends.get(hostId) ?? [];
    for (const {number, history, how} of pending) {
      if (number > lastNumber) continue;
      if (how === TaskEndKind.Done) history.doneAcknowledged = true;
      if (how === TaskEndKind.Failed) history.failures += 1;
    }
    ends.set(
      hostId,
      pending.filter(({number}) => number > lastNumber),
    );
  }

  for (const event of events) {
    if (event.kind === FleetEventKind.Start) checkStart(event);
    if (event.kind === FleetEventKind.End) recordEnd(event);
    if (event.kind === FleetEventKind.Leaving) {
      leavingAt.set(event.hostId, event.at);
    }
    if (event.kind === FleetEventKind.Overfull) {
      report(RunViolationKind.OverCapacity, event);
    }
    if (event.kind === FleetEventKind.Seen) acknowledgeEnds(event);
    if (event.kind === FleetEventKind.Gone) {
      getHistory(event.task).activeRuns.delete(`${event.hostId}/${event.run}`);
    }
  }
  return [...violations, ...checkHolders(events, expectations)];
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
