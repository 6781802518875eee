import {FULL_PACE, FillerPace, paceFillers} from '../../decisions/workflows';
import {Log} from '../../telemetry';
import {HostSession} from './host_session';

/**
 * Adjusts the pace, in percent of full speed, of fillers on each host. Fillers
 * are tasks that run on capacity left over by others; they are slowed down when
 * they impair the response times of other tasks on the host.
 */
export interface FillerPacing {
  /** Evaluates each host once and orders changed paces. */
  review(): void;
}

/**
 * Minimum change of the pace that is worth a call to the host, in percentage
 * points.
 */
const MIN_CHANGE_PERCENT = 5;

/**
 * Creates the filler pacing for the hosts of a term.
 *
 * @param sessions host sessions by host id
 * @param log receives each change of pace
 */
export function createFillerPacing(
  sessions: ReadonlyMap<string, HostSession>,
  log: Log,
): FillerPacing {
  const paces = new Map<string, FillerPace>();

  function reviewHost(id: string, session: HostSession): void {
    const tasks = [...session.tasks.values()];
    const fillers = tasks.filter(task => task.step.fills);
    if (fillers.length === 0) return void paces.delete(id);
    let worstTailRatio = 0;
    for (const {step, placement} of tasks) {
      if (step.tailTargetMs === 0 || !placement) continue;
      worstTailRatio = Math.max(
        worstTailRatio,
        placement.load / step.tailTargetMs,
      );
    }
    const before = paces.get(id) ?? FULL_PACE;
    const pace = paceFillers(before, worstTailRatio);
    paces.set(id, pace);
    const percent = Math.round(pace.percent);
    for (const filler of fillers) {
      const {placement} = filler;
      if (!placement?.confirmed || placement.stopping) continue;
      const change = Math.abs(percent - placement.pace);
      const isLimit = percent === 0 || percent === 100 || placement.pace < 0;
      if (change === 0 || (change < MIN_CHANGE_PERCENT && !isLimit)) continue;
      log.info('pace', {
        request: filler.workflow.id,
        task: filler.name,
        host: id,
        decision: percent > placement.pace ? 'speed up' : 'slow down',
        percent,
        worstTailPart: Math.round(worstTailRatio * 100) / 100,
      });
      session.pace(filler, percent);
    }
  }

  return {
    review() {
      for (const [id, session] of sessions) reviewHost(id, session);
      for (const id of paces.keys()) if (!sessions.has(id)) paces.delete(id);
    },
  };
}
