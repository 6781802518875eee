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
  alwaysFails,
  createNotStartedReport,
  getTaskKey,
  getUsage,
} from './task';
import {WorkerFaults, createWorkerFaults} from './worker_faults';

/**
 * Simulates a worker without any transport: slots, tasks with leases, draining
 * and reboots.
 */
export interface WorkerModel {
  readonly host: Host;
  readonly faults: WorkerFaults;
  /** All runs of requests and tasks, including those before a reboot. */
  readonly runs: readonly RunRecord[];
  /** Maximum number of slots that were in use at once. */
  readonly slotsPeak: number;
  /** Returns false while the worker is crashed or rebooting. */
  isUp(): boolean;
  /** Reserves a slot for a request; returns a function that releases it. */
  startRequest(
    requestId: string,
    idempotencyKey?: string,
  ): Result<(completed: boolean) => void, WorkerFailure>;
  report(): WorkerReport;
  /**
   * Fences terms lower than the given one, renews the leases of the listed
   * attempts and returns a report.
   */
  renewAndReport(fence: PoolFence): Result<WorkerReport, WorkerFailure>;
  /**
   * Starts a task, or returns the report of the task if it has started before.
   */
  startTask(start: TaskStart): Result<TaskReport, WorkerFailure>;
  /** Applies an order to a task; a stop also prevents a later start. */
  orderTask(
    jobId: string,
    attempt: number,
    term: number,
    order: TaskOrder,
  ): Result<TaskReport, WorkerFailure>;
  setDraining(draining: boolean): void;
  /**
   * Reboots the worker. With an expected boot number, only if the worker is
   * draining and has that boot number.
   */
  reboot(expectedBoot?: number): void;
  setLeaving(leaving: boolean): void;
  /** Finishes a stuck reboot. */
  repair(): void;
  dispose(): void;
}

const ACTIVE_TASK_STATES: readonly TaskState[] = [
  TaskState.Running,
  TaskState.Throttled,
];

/** Options of a simulated worker. */
export interface WorkerOptions {
  readonly host: Host;
  /** Duration of a reboot in ms. */
  readonly rebootMs: number;
}

/**
 * Creates a worker that is up and has no tasks.
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
  /** Highest term received for each pool. */
  const highestTerms = new Map<string, number>();
  /** Keys of attempts that were stopped before they started. */
  const stoppedBeforeStart = new Set<string>();
  let requests = 0;
  let slotsPeak = 0;
  let draining = false;
  let leaving = host.leaving;
  let rebooting = false;
  let bootNumber = 1;
  let rebootTimer: NodeJS.Timeout | undefined;

  const isUp = () => !rebooting && !faults.crashed;

  function countUsedSlots(): number {
    let used = requests;
    for (const task of listActiveTasks()) used += task.start.size.slots;
    return used;
  }

  function listActiveTasks(): Task[] {
    return [...tasks.values()].filter(t =>
      ACTIVE_TASK_STATES.includes(t.state),
    );
  }

  function updateSlotsPeak(): void {
    slotsPeak = Math.max(slotsPeak, countUsedSlots());
  }

  function reportTask(task: Task): TaskReport {
    const {jobId, attempt, term} = task.start;
    return {
      jobId,
      attempt,
      term: Math.max(term, highestTerms.get(task.start.pool) ?? 0),
      state: task.state,
      progress: getProgress(task),
      checkpoint:
        task.state === TaskState.Checkpointed
          ? String(getProgress(task))
          : undefined,
      result:
        task.state === TaskState.Done
          ? `${jobId} done on ${host.id}`
          : undefined,
      cause: task.state === TaskState.Failed ? 'the task failed' : undefined,
      usage: getUsage(task),
    };
  }

  function getProgress(task: Task): number {
    if (task.state !== TaskState.Running) return task.progress;
    const done = (Date.now() - task.resumedAt) / task.durationMs;
    return Math.min(1, task.progress + done);
  }

  function endTask(task: Task, state: TaskState): void {
    task.progress = state === TaskState.Done ? 1 : getProgress(task);
    task.state = state;
    clearTimeout(task.leaseTimer);
    clearTimeout(task.endTimer);
    task.run.endedAt = Date.now();
    task.run.completed = state === TaskState.Done;
  }

  function resumeTask(task: Task): void {
    task.state = TaskState.Running;
    task.resumedAt = Date.now();
    const remainingMs = task.durationMs * (1 - task.progress);
    task.endTimer = setTimeout(
      () => endTask(task, TaskState.Done),
      remainingMs,
    );
    task.endTimer.unref?.();
  }

  function renewLease(task: Task): void {
    clearTimeout(task.leaseTimer);
    task.leaseTimer = setTimeout(
      () => endTask(task, TaskState.LeaseExpired),
      task.start.leaseMs,
    );
    task.leaseTimer.unref?.();
  }

  function isStaleStart(start: TaskStart, key: string): boolean {
    if (stoppedBeforeStart.has(key)) return true;
    if (start.bootNumber !== undefined && start.bootNumber !== bootNumber) {
      return true;
    }
    return start.startBefore !== undefined && Date.now() > start.startBefore;
  }

  function renewTasks(attemptIds: readonly AttemptId[]): void {
    for (const {jobId, attempt} of attemptIds) {
      const task = tasks.get(getTaskKey(jobId, attempt));
      if (task && ACTIVE_TASK_STATES.includes(task.state)) renewLease(task);
    }
  }

  function isFenced(pool: string, term: number): boolean {
    const highest = highestTerms.get(pool) ?? 0;
    if (term < highest) return true;
    highestTerms.set(pool, term);
    return false;
  }

  function applyOrder(task: Task, order: TaskOrder): void {
    const active = ACTIVE_TASK_STATES.includes(task.state);
    if (order === TaskOrder.Release && !active) {
      tasks.delete(getTaskKey(task.start.jobId, task.start.attempt));
    }
    if (!active) return;
    switch (order) {
      case TaskOrder.Renew:
        return renewLease(task);
      case TaskOrder.Throttle:
        task.progress = getProgress(task);
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

  function clearState(): void {
    for (const task of listActiveTasks()) endTask(task, TaskState.Stopped);
    tasks.clear();
    highestTerms.clear();
    stoppedBeforeStart.clear();
  }

  function report(): WorkerReport {
    return {
      hostId: host.id,
      leaving,
      draining,
      slots: host.slots,
      slotsUsed: countUsedSlots(),
      connections: host.connections,
      connectionsUsed: 0,
      bootNumber,
      processorsUsed: countUsedSlots(),
      memoryUsedMb: countUsedSlots() * 1024,
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
      if (countUsedSlots() >= host.slots) return Result.err(WorkerFailure.Busy);
      requests += 1;
      updateSlotsPeak();
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
    renewAndReport({pool, term, renew}) {
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
      const key = getTaskKey(start.jobId, start.attempt);
      const known = tasks.get(key);
      if (known) return Result.ok(reportTask(known));
      if (isStaleStart(start, key)) return Result.err(WorkerFailure.Fenced);
      if (draining || leaving) return Result.err(WorkerFailure.Leaving);
      if (countUsedSlots() + start.size.slots > host.slots) {
        return Result.err(WorkerFailure.Busy);
      }
      const task = createTask(start, host.id);
      tasks.set(key, task);
      runs.push(task.run);
      renewLease(task);
      resumeTask(task);
      if (faults.failAll || alwaysFails(start)) endTask(task, TaskState.Failed);
      updateSlotsPeak();
      return Result.ok(reportTask(task));
    },
    orderTask(jobId, attempt, term, order) {
      if (!isUp()) return Result.err(WorkerFailure.ConnectFailed);
      const task = tasks.get(getTaskKey(jobId, attempt));
      if (!task && order === TaskOrder.Stop) {
        stoppedBeforeStart.add(getTaskKey(jobId, attempt));
        return Result.ok(createNotStartedReport(jobId, attempt, term));
      }
      if (!task) return Result.err(WorkerFailure.Fenced);
      if (isFenced(task.start.pool, term)) {
        return Result.err(WorkerFailure.Fenced);
      }
      applyOrder(task, order);
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
      clearState();
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
