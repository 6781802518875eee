import {
  HostHealth,
  HostStatus,
  TaskRecord,
  createHostHealth,
} from '../../decisions/workflows';
import {Log} from '../../telemetry';
import {HostSession} from './host_session';

/**
 * Detects hosts on which runs fail, stall or are slow, and excludes them from
 * new placements.
 */
export interface HostHealthMonitor {
  /**
   * Records a successful run that took the given multiple of its expected
   * duration.
   */
  recordDone(hostId: string, slowness: number): void;
  recordFailure(task: TaskRecord, hostId: string): void;
  /** Stops stalled runs, so that their tasks are placed on other hosts. */
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
 * Creates the host health monitor of a term.
 *
 * @param sessions host sessions by host id
 * @param log receives each host that is found to be unhealthy
 */
export function createHostHealthMonitor(
  sessions: ReadonlyMap<string, HostSession>,
  log: Log,
): HostHealthMonitor {
  const health: HostHealth = createHostHealth();

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

  return {
    recordDone(hostId, slowness) {
      health.recordSuccess(hostId, slowness, performance.now());
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
    },
    filter(candidates) {
      const now = performance.now();
      const usable = candidates.filter(({room}) => {
        const status = health.getStatus(room.host.id, now);
        room.degraded = status !== HostStatus.Healthy;
        return status !== HostStatus.Unhealthy;
      });
      const excluded = candidates.length - usable.length;
      return excluded > candidates.length * MAX_UNHEALTHY_SHARE
        ? candidates
        : usable;
    },
  };
}
