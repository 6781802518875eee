import {TaskRecord, hasRoom} from '../../decisions/workflows';
import {Mirror} from '../../state';
import {TaskHost} from '../../types/workflow';
import {HostEnd} from './host_end';
import {HostSession} from './host_session';

/**
 * The leader's sessions with all hosts that are registered or may still run
 * tasks.
 */
export interface HostSessions {
  /** Host sessions by host id. */
  readonly all: ReadonlyMap<string, HostSession>;
  /** Opens, updates and closes sessions according to the host registry. */
  update(): void;
  /** Ends the sessions with hosts on whose machine another one has started. */
  endReplaced(): void;
  /** Adds a task that an earlier leader placed to the session of its host. */
  adopt(task: TaskRecord): void;
  /** Returns the sessions of a pool's hosts on which tasks may be started. */
  listUsable(pool: string): readonly HostSession[];
  /** Returns whether any usable host of the task's pool has room for it. */
  hasRoomFor(task: TaskRecord): boolean;
  /** The same, for a host that is not degraded. */
  hasSoundRoomFor(task: TaskRecord): boolean;
  /** Orders a task's run to stop, if the task is placed. */
  stop(task: TaskRecord, cause: string): void;
  /**
   * Visits the tasks on draining hosts that can continue on another host with
   * room: long-running tasks immediately, tasks with checkpoints after a delay.
   *
   * @param visit called with each task and the time in ms for which its host
   *     has been draining
   */
  forEachLeaving(visit: (task: TaskRecord, drainingMs: number) => void): void;
  dispose(): void;
}

/**
 * Time in ms for which a run with checkpoints may continue on a draining host
 * in order to finish there; half of the minimum time before the host leaves.
 */
const EVACUATION_DELAY_MS = 1_000;

/**
 * Creates the sessions of a term.
 *
 * @param registry mirror of the host registry
 * @param isPool returns whether a pool is configured; entries that name another
 *     one are not those of hosts
 * @param open opens the session with one host
 * @param onInvalid called with the key of an entry that cannot be handled and
 *     what was thrown
 * @param filter removes hosts that must not be used from a pool's sessions
 */
export function createHostSessions(
  registry: Mirror<TaskHost>,
  isPool: (name: string) => boolean,
  open: (host: TaskHost) => HostSession,
  onInvalid: (key: string, error: unknown) => void,
  filter: (
    sessions: readonly HostSession[],
  ) => readonly HostSession[] = usable => usable,
): HostSessions {
  const all = new Map<string, HostSession>();
  const drainingSince = new Map<string, number>();

  function openSession(host: TaskHost): HostSession {
    const session = open(host);
    all.set(host.id, session);
    return session;
  }

  /**
   * Ends the sessions with hosts on whose machine another one has started since
   * their last answer. An entry alone may be false or late, and births are times
   * of different clocks, so the other host must have reported.
   */
  function endReplaced(): void {
    const sessionsByMachine = new Map<string, HostSession[]>();
    for (const session of all.values()) {
      const {machine} = session.room.host;
      const sessions = sessionsByMachine.get(machine);
      if (sessions) sessions.push(session);
      else sessionsByMachine.set(machine, [session]);
    }
    sessionsByMachine.delete('');
    for (const sessions of sessionsByMachine.values()) {
      for (const session of sessions) {
        const isReplaced = sessions.some(
          other => other !== session && other.reportedAt > session.answeredAt,
        );
        if (!isReplaced) continue;
        session.markGone('another host runs on its machine', HostEnd.Crashed);
      }
    }
  }

  function applyEntry(host: TaskHost): void {
    const session = all.get(host.id);
    if (session?.isGone() && session.bornAt !== host.bornAt) {
      session.dispose();
      openSession(host);
    } else if (session) session.update(host);
    else openSession(host);
  }

  function listUsable(pool: string): readonly HostSession[] {
    const usable = [...all.values()].filter(
      session => session.room.host.pool === pool && session.isUsable(),
    );
    return filter(usable);
  }

  function hasRoomFor({step, group, workflow}: TaskRecord): boolean {
    return listUsable(workflow.pool).some(({room}) =>
      hasRoom(room, step, group),
    );
  }

  function hasSoundRoomFor({step, group, workflow}: TaskRecord): boolean {
    return listUsable(workflow.pool).some(
      ({room}) => !room.degraded && hasRoom(room, step, group),
    );
  }

  function stop(task: TaskRecord, cause: string): void {
    if (task.placement) all.get(task.placement.hostId)?.stop(task, cause);
  }

  return {
    all,
    endReplaced,
    update() {
      const listed = new Set<string>();
      for (const {key, value: host} of registry.entries.get().values()) {
        if (!isPool(host.pool)) continue;
        listed.add(host.id);
        try {
          applyEntry(host);
        } catch (error) {
          onInvalid(key, error);
        }
      }
      endReplaced();
      for (const [id, session] of all) {
        if (!listed.has(id)) session.update(undefined);
        if (!session.isIdle()) continue;
        session.dispose();
        all.delete(id);
      }
    },
    adopt(task) {
      const {placement} = task;
      if (!placement) return;
      let session = all.get(placement.hostId);
      if (!session) {
        session = openSession(createUnlistedHost(task));
        session.update(undefined);
      }
      session.adopt(task);
    },
    listUsable,
    hasRoomFor,
    hasSoundRoomFor,
    stop,
    forEachLeaving(visit) {
      const now = performance.now();
      for (const [id, session] of all) {
        if (!session.room.host.draining) {
          drainingSince.delete(id);
          continue;
        }
        const since = drainingSince.get(id) ?? now;
        drainingSince.set(id, since);
        for (const task of session.tasks.values()) {
          const {lasting, checkpoints} = task.step;
          const due =
            lasting || (checkpoints && now > since + EVACUATION_DELAY_MS);
          if (due && hasRoomFor(task)) visit(task, now - since);
        }
      }
    },
    dispose() {
      for (const session of all.values()) session.dispose();
    },
  };
}

/**
 * Creates the entry of an unregistered host on which an earlier leader placed a
 * task that may still run.
 */
function createUnlistedHost({workflow, placement}: TaskRecord): TaskHost {
  return {
    id: placement?.hostId ?? '',
    bornAt: placement?.bornAt ?? 0,
    pool: workflow.pool,
    address: placement?.address ?? '',
    availabilityZone: '',
    machine: '',
    labels: [],
    rack: '',
    capacity: {cpuMillis: 0, memoryMb: 0, accelerators: 0},
    draining: false,
    coldMs: 0,
  };
}
