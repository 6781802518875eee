import {FleetEvent, FleetEventKind} from '../../stand_ins/fleet';
import {Step, TaskEndKind, Workflow} from '../../types/workflow';
import {RunViolation, RunViolationKind} from './run_violation';

/** What the availability of tasks is checked against. */
export interface AvailabilityExpectations {
  /** Submitted workflows by id. */
  readonly workflows: ReadonlyMap<string, Workflow>;
  /** Monotonic time in ms at which a cancellation was sent, by workflow id. */
  readonly cancelSentAt: ReadonlyMap<string, number>;
  /**
   * Time in ms after which a task that isn't serving counts as unavailable
   * whatever the cause.
   */
  readonly noticeMs: number;
}

interface Service {
  isServing: boolean;
  /** Whether an order has ended its last run. */
  endedByOrder: boolean;
  /** Monotonic time in ms since which it has not been serving. */
  awaySince: number;
}

/**
 * Checks, from what the hosts have recorded, that no order ends a serving task
 * while as many other tasks of its step as allowed are unavailable. Tasks on
 * hosts that are leaving may always be stopped, but count for the others.
 *
 * @param events events of the fleet, in chronological order
 * @param expectations workflows and time limits to check against
 * @returns all violations
 */
export function checkAvailability(
  events: readonly FleetEvent[],
  {workflows, cancelSentAt, noticeMs}: AvailabilityExpectations,
): readonly RunViolation[] {
  const violations: RunViolation[] = [];
  const services = new Map<string, Service>();
  const leaving = new Set<string>();
  /** Hosts that a machine order has ended. */
  const ordered = new Set<string>();

  function findStep(task: string): Step | undefined {
    const [id, , stepIndex] = task.split('.');
    return workflows.get(id)?.steps[Number(stepIndex)];
  }

  function getService(task: string): Service {
    let service = services.get(task);
    if (!service) {
      service = {isServing: false, endedByOrder: false, awaySince: -Infinity};
      services.set(task, service);
    }
    return service;
  }

  function listUnavailable(task: string, at: number): readonly string[] {
    const group = task.slice(0, task.lastIndexOf('.'));
    const {taskCount = 0} = findStep(task) ?? {};
    const others = Array.from(
      {length: taskCount},
      (_, index) => `${group}.${index}`,
    ).filter(name => name !== task);
    return others.filter(name => {
      const {isServing, endedByOrder, awaySince} = getService(name);
      return !isServing && (endedByOrder || at - awaySince >= noticeMs);
    });
  }

  function check({task, run, hostId, at}: FleetEvent): void {
    const {mayMiss} = findStep(task) ?? {};
    if (mayMiss === undefined || leaving.has(hostId)) return;
    const [id] = task.split('.');
    if ((cancelSentAt.get(id) ?? Infinity) <= at) return;
    const away = listUnavailable(task, at);
    if (away.length < mayMiss) return;
    const subject = `${task}/${run} on ${hostId}, beside ${away.join(' ')}`;
    violations.push({kind: RunViolationKind.Unavailable, subject, at});
  }

  function end(event: FleetEvent, byOrder: boolean): void {
    const service = getService(event.task);
    if (byOrder && service.isServing) check(event);
    if (service.isServing) service.awaySince = event.at;
    service.isServing = false;
    service.endedByOrder ||= byOrder;
  }

  for (const event of events) {
    const {kind, hostId, task, how, isLate = false} = event;
    if (kind === FleetEventKind.Boot) {
      leaving.delete(hostId);
      ordered.delete(hostId);
    }
    if (kind === FleetEventKind.Leaving) leaving.add(hostId);
    if (kind === FleetEventKind.Order) ordered.add(hostId);
    if (kind === FleetEventKind.Serving) {
      const service = getService(task);
      service.isServing = true;
      service.endedByOrder = false;
    }
    if (kind === FleetEventKind.End) {
      end(event, how === TaskEndKind.Stopped && !isLate);
    }
    if (kind === FleetEventKind.Lost) end(event, ordered.has(hostId));
  }
  return violations;
}
