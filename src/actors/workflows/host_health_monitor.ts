import {
  HostHealth,
  HostSpeed,
  HostStatus,
  Placement,
  RunTimes,
  TaskRecord,
  createHostHealth,
  createHostSpeed,
  getMoveGainMs,
  projectRunMs,
} from '../../decisions/workflows';
import {Log} from '../../telemetry';
import {HostSession} from './host_session';

/**
 * Detects hosts on which runs fail, stall or are slow, and excludes them from
 * new placements.
 */
export interface HostHealthMonitor {
  /** Records the successful end of a run. */
  recordDone(task: TaskRecord, placement: Placement): void;
  recordFailure(task: TaskRecord, hostId: string): void;
  /**
   * Stops stalled runs, and checkpointed runs that gain by leaving a slow host,
   * so that their tasks are placed on other hosts.
   */
  review(): void;
  /**
   * Returns the sessions of a pool that may receive tasks, and marks the
   * degraded ones among them.
   */
  filter(sessions: readonly HostSession[]): readonly HostSession[];
}

/**
 * Time in ms without progress after which a run counts as stalled: well above
 * the time for one percent of a run, and above the time to restore a
 * checkpoint.
 */
const STALL_TIMEOUT_MS = 2_500;
/**
 * Maximum share of a pool's hosts that may be excluded at once; if more appear
 * unhealthy, the tasks are the likely cause and none is excluded.
 */
const MAX_UNHEALTHY_SHARE = 0.25;

/**
 * Time in ms that a move from a slow host costs a run: the stop, a new start,
 * the restored checkpoint and the work since it was taken.
 */
const MOVE_MS = 1_500;

/**
 * Creates the host health monitor of a term.
 *
 * @param sessions host sessions by host id
 * @param runTimes usual run times, against which hosts are compared
 * @param hasSoundRoomFor returns whether a host that is not degraded has room
 *     for a task
 * @param log receives each host that is found to be unhealthy
 */
export function createHostHealthMonitor(
  sessions: ReadonlyMap<string, HostSession>,
  runTimes: RunTimes,
  hasSoundRoomFor: (task: TaskRecord) => boolean,
  log: Log,
): HostHealthMonitor {
  const health: HostHealth = createHostHealth();
  const speed: HostSpeed = createHostSpeed();

  function logUnhealthyHost(
    hostId: string,
    cause: string,
    task: TaskRecord,
  ): void {
    log.warn('host sick', {
      host: hostId,
      pool: task.workflow.pool,
      request: task.workflow.id,
      decision: 'no new tasks',
      cause,
    });
  }

  function isStalled({step, placement}: TaskRecord): boolean {
    if (step.lasting || step.fills || step.gang || !placement) return false;
    if (!placement.confirmed || placement.stopping) return false;
    return placement.seenAt - placement.progressedAt > STALL_TIMEOUT_MS;
  }

  function getUsualMs({workflow, step}: TaskRecord): number {
    return runTimes.estimateMedian(workflow.queue, step);
  }

  /** Returns how slow each run in progress on a host is. */
  function measure({tasks}: HostSession): readonly number[] {
    const slownesses: number[] = [];
    for (const task of tasks.values()) {
      const {placement} = task;
      if (!placement || placement.stopping || !isMeasurable(task)) continue;
      const usualMs = getUsualMs(task);
      const runMs = projectRunMs(placement, usualMs);
      if (runMs !== undefined && usualMs > 0) slownesses.push(runMs / usualMs);
    }
    return slownesses;
  }

  function reviewSpeed(now: number): void {
    for (const session of sessions.values()) {
      speed.recordProgress(session.room.host, measure(session), now);
    }
    speed.retain(sessions);
    for (const {host, slow, slowness} of speed.review(now)) {
      log.info(slow ? 'host slow' : 'host no longer slow', {
        host: host.id,
        rack: host.rack,
        slowness: Math.round(slowness * 10) / 10,
        decision: slow ? 'used last' : 'used again',
      });
    }
    for (const [id, session] of sessions) {
      if (speed.isSlow(id)) moveAway(session, speed.getSlowness(id, now));
    }
  }

  /** Moves at most one run, as all would find the same room. */
  function moveAway({room, tasks, stop}: HostSession, slowness: number): void {
    for (const task of tasks.values()) {
      const {step, placement, avoid} = task;
      if (!step.checkpoints || !isMeasurable(task)) continue;
      if (!placement || placement.stopping || avoid.size > 0) continue;
      const usualMs = getUsualMs(task);
      const gainMs = getMoveGainMs(placement, usualMs, slowness, MOVE_MS);
      if (gainMs <= 0 || !hasSoundRoomFor(task)) continue;
      avoid.add(room.host.id);
      return stop(task, 'host is slow');
    }
  }

  return {
    recordDone(task, placement) {
      const {hostId, isWhole, confirmed, confirmedAt} = placement;
      health.recordSuccess(hostId);
      const usualMs = getUsualMs(task);
      // Without a confirmed start, the run may have begun much later.
      if (!isWhole || !confirmed || !isMeasurable(task) || usualMs === 0) {
        return;
      }
      const now = performance.now();
      speed.recordEnd(hostId, (now - confirmedAt) / usualMs, now);
    },
    recordFailure(task, hostId) {
      const {id} = task.workflow;
      if (health.recordFailure(hostId, id, performance.now())) {
        logUnhealthyHost(
          hostId,
          'runs of several workflows failed on this host',
          task,
        );
      }
    },
    review() {
      for (const [id, session] of sessions) {
        for (const task of session.tasks.values()) {
          if (!isStalled(task)) continue;
          task.avoid.add(id);
          session.stop(task, 'run makes no progress');
          if (health.recordStall(id, performance.now())) {
            logUnhealthyHost(id, 'a run made no progress', task);
          }
        }
      }
      health.retain(sessions);
      reviewSpeed(performance.now());
    },
    filter(candidates) {
      const now = performance.now();
      const usable = candidates.filter(({room}) => {
        const status = health.getStatus(room.host.id, now);
        room.degraded =
          status !== HostStatus.Healthy || speed.isSlow(room.host.id);
        return status !== HostStatus.Unhealthy;
      });
      const excluded = candidates.length - usable.length;
      return excluded > candidates.length * MAX_UNHEALTHY_SHARE
        ? candidates
        : usable;
    },
  };
}

/** Returns whether the run time of a task depends on nothing but its host. */
function isMeasurable({step}: TaskRecord): boolean {
  return !step.lasting && !step.fills && !step.gang && step.dataRack === '';
}
