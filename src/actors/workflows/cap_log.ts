import {HeldWork} from '../../decisions/workflows';
import {Log} from '../../telemetry';

/** Logs which organisations wait for their cap, once a second each. */
export interface CapLog {
  record(held: HeldWork): void;
}

/** Minimum time in ms between two lines about an organisation. */
const INTERVAL_MS = 1_000;

/** Creates the log of a term. */
export function createCapLog(log: Log): CapLog {
  const loggedAt = new Map<string, number>();

  return {
    record({organisation, request, waiting, size, used, cap}) {
      const now = performance.now();
      if (now < (loggedAt.get(organisation) ?? -Infinity) + INTERVAL_MS) return;
      loggedAt.set(organisation, now);
      log.info('cap', {
        organisation,
        decision: 'wait',
        request,
        waiting,
        cpuMillis: size.cpuMillis,
        memoryMb: size.memoryMb,
        accelerators: size.accelerators,
        used: `${used.cpuMillis} ${used.memoryMb} ${used.accelerators}`,
        cap: `${cap.cpuMillis} ${cap.memoryMb} ${cap.accelerators}`,
      });
    },
  };
}
