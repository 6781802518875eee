import {
  HostHealth,
  HostTrust,
  TaskRecord,
  createHostHealth,
} from '../../decisions/workflows';
import {Log} from '../../telemetry';
import {HostSession} from './host_session';

/** Finds hosts that fail, stall or slow what they run, and keeps new tasks away from them. */
export interface HostHealthMonitor {
  /** A run was done, in this multiple of its expected time. */
  noteDone(hostId: string, slowness: number): void;
  noteFailure(task: TaskRecord, hostId: string): void;
  /** Ends runs that stand still, so that they run elsewhere. */
  review(): void;
  /** Returns those of a pool's sessions that may get tasks, and marks the doubtful ones. */
  filter(sessions: readonly HostSession[]): readonly HostSession[];
}

/** Time in ms without progress after which a run stands still: far above a hundredth of a run, and above a restore. */
const STALL_TIMEOUT_MS = 2_500;
/** Share of a pool's hosts that may be sick at once: if more seem so, it is the work. */
const MAX_SICK_SHARE = 0.25;

/**
 * Creates the finder of sick hosts of a term.
 *
 * @param sessions sessions by host id
 * @param log told of each host that is found sick
 */
export function createHostHealthMonitor(
  sessions: ReadonlyMap<string, HostSession>,
  log: Log,
): HostHealthMonitor {
  const health: HostHealth = createHostHealth();

  function logSickHost(hostId: string, cause: string, task: TaskRecord): void {
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
    return placement.seenAt - placement.movedAt > STALL_TIMEOUT_MS;
  }

  return {
    noteDone(hostId, slowness) {
      health.noteDone(hostId, slowness, performance.now());
    },
    noteFailure(task, hostId) {
      const {id} = task.workflow;
      if (health.noteFailure(hostId, id, performance.now())) {
        logSickHost(hostId, 'runs of several workflows failed there', task);
      }
    },
    review() {
      for (const [id, session] of sessions) {
        for (const task of session.tasks.values()) {
          if (!isStalled(task)) continue;
          task.avoid.add(id);
          session.stop(task, 'it stands still');
          if (health.noteStall(id, performance.now())) {
            logSickHost(id, 'a run stands still', task);
          }
        }
      }
      health.retain(sessions);
    },
    filter(candidates) {
      const now = performance.now();
      const sound = candidates.filter(({room}) => {
        const trust = health.judge(room.host.id, now);
        room.doubtful = trust !== HostTrust.Sound;
        return trust !== HostTrust.Sick;
      });
      const sick = candidates.length - sound.length;
      return sick > candidates.length * MAX_SICK_SHARE ? candidates : sound;
    },
  };
}
