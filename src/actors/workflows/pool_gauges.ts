import {TaskPhase, WorkflowRecord, isFinal} from '../../decisions/workflows';
import {PoolGauge} from '../../telemetry';
import {HostSessions} from './host_sessions';

/** Returns task counts and free CPU of each pool that has tasks or hosts. */
export function readPoolGauges(
  records: ReadonlyMap<string, WorkflowRecord>,
  sessions: HostSessions,
): readonly PoolGauge[] {
  const waiting = new Map<string, number>();
  const placed = new Map<string, number>();
  for (const {workflow, state, groups} of records.values()) {
    if (isFinal(state)) continue;
    for (const task of [...groups.values()].flat()) {
      if (task.phase === TaskPhase.Done) continue;
      const counts = task.phase === TaskPhase.Placed ? placed : waiting;
      counts.set(workflow.pool, (counts.get(workflow.pool) ?? 0) + 1);
    }
  }
  const pools = new Set([...waiting.keys(), ...placed.keys()]);
  for (const {room} of sessions.all.values()) pools.add(room.host.pool);
  return [...pools].map(pool => {
    const usable = sessions.listUsable(pool);
    return {
      pool,
      waitingTasks: waiting.get(pool) ?? 0,
      placedTasks: placed.get(pool) ?? 0,
      freeCpuMillis: usable.reduce(
        (sum, {room}) => sum + room.free.cpuMillis,
        0,
      ),
      hosts: usable.length,
    };
  });
}
