import {Result} from 'true-myth';
import {
  PoolFence,
  AttemptId,
  TaskOrder,
  TaskReport,
  TaskStart,
  TaskState,
  WorkerFailure,
  WorkerReport,
} from '../../ports';
import {Host} from '../../types';
import {RunRecord} from './run_record';
import {
  Task,
  createTask,
  isFaulty,
  reportNotStarted,
  taskKey,
  usageOf,
} from './task';
import {WorkerFaults, createWorkerFaults} from './worker_faults';

/** A worker's behaviour without any transport: slots, tasks under leases, drain and reboot. */
export interface WorkerModel {
  readonly host: Host;
  readonly faults: WorkerFaults;
  /** Every run so far. */
  readonly runs: readonly RunRecord[];
  /** Most slots in use at once so far. */
  readonly slotsPeak: number;
  /** False while crashed or rebooting. */
  isUp(): boolean;
  /** Takes a slot for a request; the returned function gives it back. */
  startRequest(
    requestId: string,
    idempotencyKey?: string,
  ): Result<(completed: boolean) => void, WorkerFailure>;
  report(): WorkerReport;
  /** Fences lower terms, renews the named tasks and reports. */
  reportTo(fence: PoolFence): Result<WorkerReport, WorkerFailure>;
  startTask(start: TaskStart): Result<TaskReport, WorkerFailure>;
  orderTask(
    jobId: string,
    attempt: number,
    term: number,
    order: TaskOrder,
  ): Result<TaskReport, WorkerFailure>;
  setDraining(draining: boolean): void;
  /** Reboots; with an expected boot only if drained and still in that boot. */
  reboot(expectedBoot?: number): void;
  setLeaving(leaving: boolean): void;
  /** Ends a reboot that is stuck, as a repair does. */
  repair(): void;
  dispose(): void;
}

const ACTIVE_TASK_STATES: readonly TaskState[] = [
  TaskState.Running,
  TaskState.Throttled,
];

/** Options of a worker. */
export interface WorkerOptions {
  readonly host: Host;
  /** Time that a reboot takes, in ms. */
  readonly rebootMs: number;
}

/**
 * Creates a worker that is up and empty.
 *
 * @param options the worker's host and reboot time
 */
export function createWorkerModel({
  host,
  rebootMs,
}: WorkerOptions): WorkerModel {
  const faults = createWorkerFaults();
  const runs: RunRecord[] = [];
  const tasks = new Map<string, Task>();
  const terms = new Map<string, number>();
  /** Attempts that were stopped before they started. */
  const forbidden = new Set<string>();
  let requests = 0;
  let slotsPeak = 0;
  let draining = false;
  let leaving = host.leaving;
  let rebooting = false;
  let bootNumber = 1;
  let rebootTimer: NodeJS.Timeout | undefined;

  const isUp = () => !rebooting && !faults.crashed;

  function slotsUsed(): number {
    let used = requests;
    for (const task of activeTasks()) used += task.start.size.slots;
    return used;
  }

  function activeTasks(): Task[] {
    return [...tasks.values()].filter(t =>
      ACTIVE_TASK_STATES.includes(t.state),
    );
  }

  function notePeak(): void {
    slotsPeak = Math.max(slotsPeak, slotsUsed());
  }

  function reportTask(task: Task): TaskReport {
    const {jobId, attempt, term} = task.start;
    return {
      jobId,
      attempt,
      term: Math.max(term, terms.get(task.start.pool) ?? 0),
      state: task.state,
      progress: progressOf(task),
      checkpoint:
        task.state === TaskState.Checkpointed
          ? String(progressOf(task))
          : undefined,
      result:
        task.state === TaskState.Done
          ? `${jobId} done on ${host.id}`
          : undefined,
      cause: task.state === TaskState.Failed ? 'the task failed' : undefined,
      usage: usageOf(task),
    };
  }

  function progressOf(task: Task): number {
    if (task.state !== TaskState.Running) return task.progress;
    const done = (Date.now() - task.resumedAt) / task.durationMs;
    return Math.min(1, task.progress + done);
  }

  function endTask(task: Task, state: TaskState): void {
    task.progress = state === TaskState.Done ? 1 : progressOf(task);
    task.state = state;
    clearTimeout(task.leaseTimer);
    clearTimeout(task.endTimer);
    task.run.endedAt = Date.now();
    task.run.completed = state === TaskState.Done;
  }

  function resumeTask(task: Task): void {
    task.state = TaskState.Running;
    task.resumedAt = Date.now();
    const left = task.durationMs * (1 - task.progress);
    task.endTimer = setTimeout(() => endTask(task, TaskState.Done), left);
    task.endTimer.unref?.();
  }

  function renewLease(task: Task): void {
    clearTimeout(task.leaseTimer);
    task.leaseTimer = setTimeout(
      () => endTask(task, TaskState.Lapsed),
      task.start.leaseMs,
    );
    task.leaseTimer.unref?.();
  }

  function isExpired(start: TaskStart, key: string): boolean {
    if (forbidden.has(key)) return true;
    if (start.bootNumber !== undefined && start.bootNumber !== bootNumber) {
      return true;
    }
    return start.startBefore !== undefined && Date.now() > start.startBefore;
  }

  function renewTasks(names: readonly AttemptId[]): void {
    for (const {jobId, attempt} of names) {
      const task = tasks.get(taskKey(jobId, attempt));
      if (task && ACTIVE_TASK_STATES.includes(task.state)) renewLease(task);
    }
  }

  function isFenced(pool: string, term: number): boolean {
    const highest = terms.get(pool) ?? 0;
    if (term < highest) return true;
    terms.set(pool, term);
    return false;
  }

  function followOrder(task: Task, order: TaskOrder): void {
    const active = ACTIVE_TASK_STATES.includes(task.state);
    if (order === TaskOrder.Release && !active) {
      tasks.delete(taskKey(task.start.jobId, task.start.attempt));
    }
    if (!active) return;
    switch (order) {
      case TaskOrder.Renew:
        return renewLease(task);
      case TaskOrder.Throttle:
        task.progress = progressOf(task);
        task.state = TaskState.Throttled;
        return clearTimeout(task.endTimer);
      case TaskOrder.Unthrottle:
        if (task.state === TaskState.Throttled) resumeTask(task);
        return;
      case TaskOrder.Checkpoint:
        return endTask(task, TaskState.Checkpointed);
      case TaskOrder.Stop:
        return endTask(task, TaskState.Stopped);
      case TaskOrder.Release:
        return;
    }
  }

  function loseEverything(): void {
    for (const task of activeTasks()) endTask(task, TaskState.Stopped);
    tasks.clear();
    terms.clear();
    forbidden.clear();
  }

  function report(): WorkerReport {
    return {
      hostId: host.id,
      leaving,
      draining,
      slots: host.slots,
      slotsUsed: slotsUsed(),
      connections: host.connections,
      connectionsUsed: 0,
      bootNumber,
      processorsUsed: slotsUsed(),
      memoryUsedMb: slotsUsed() * 1024,
      tasks: [...tasks.values()].map(reportTask),
    };
  }

  function finishReboot(): void {
    rebooting = false;
    draining = false;
    bootNumber += 1;
  }

  return {
    host,
    faults,
    runs,
    get slotsPeak() {
      return slotsPeak;
    },
    isUp,
    startRequest(requestId, idempotencyKey) {
      if (!isUp()) return Result.err(WorkerFailure.ConnectFailed);
      if (draining || leaving) return Result.err(WorkerFailure.Leaving);
      if (slotsUsed() >= host.slots) return Result.err(WorkerFailure.Busy);
      requests += 1;
      notePeak();
      const run: RunRecord = {
        id: requestId,
        idempotencyKey,
        hostId: host.id,
        startedAt: Date.now(),
        completed: false,
      };
      runs.push(run);
      return Result.ok((completed: boolean) => {
        if (run.endedAt !== undefined) return;
        requests -= 1;
        run.endedAt = Date.now();
        run.completed = completed;
      });
    },
    report,
    reportTo({pool, term, renew}) {
      if (!isUp()) return Result.err(WorkerFailure.ConnectFailed);
      if (isFenced(pool, term)) return Result.err(WorkerFailure.Fenced);
      renewTasks(renew);
      return Result.ok(report());
    },
    startTask(start) {
      if (!isUp()) return Result.err(WorkerFailure.ConnectFailed);
      if (isFenced(start.pool, start.term)) {
        return Result.err(WorkerFailure.Fenced);
      }
      const key = taskKey(start.jobId, start.attempt);
      const known = tasks.get(key);
      if (known) return Result.ok(reportTask(known));
      if (isExpired(start, key)) return Result.err(WorkerFailure.Fenced);
      if (draining || leaving) return Result.err(WorkerFailure.Leaving);
      if (slotsUsed() + start.size.slots > host.slots) {
        return Result.err(WorkerFailure.Busy);
      }
      const task = createTask(start, host.id);
      tasks.set(key, task);
      runs.push(task.run);
      renewLease(task);
      resumeTask(task);
      if (faults.failAll || isFaulty(start)) endTask(task, TaskState.Failed);
      notePeak();
      return Result.ok(reportTask(task));
    },
    orderTask(jobId, attempt, term, order) {
      if (!isUp()) return Result.err(WorkerFailure.ConnectFailed);
      const task = tasks.get(taskKey(jobId, attempt));
      if (!task && order === TaskOrder.Stop) {
        forbidden.add(taskKey(jobId, attempt));
        return Result.ok(reportNotStarted(jobId, attempt, term));
      }
      if (!task) return Result.err(WorkerFailure.Fenced);
      if (isFenced(task.start.pool, term)) {
        return Result.err(WorkerFailure.Fenced);
      }
      followOrder(task, order);
      return Result.ok(reportTask(task));
    },
    setDraining(value) {
      draining = value;
    },
    reboot(expectedBoot) {
      if (!isUp()) return;
      if (expectedBoot !== undefined && expectedBoot !== bootNumber) return;
      if (expectedBoot !== undefined && !draining) return;
      rebooting = true;
      loseEverything();
      if (faults.stuckReboot) return;
      rebootTimer = setTimeout(finishReboot, rebootMs);
      rebootTimer.unref?.();
    },
    repair() {
      if (rebooting) finishReboot();
    },
    setLeaving(value) {
      leaving = value;
    },
    dispose() {
      clearTimeout(rebootTimer);
      for (const task of tasks.values()) {
        clearTimeout(task.leaseTimer);
        clearTimeout(task.endTimer);
      }
    },
  };
}
