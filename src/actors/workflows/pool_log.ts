import {Log, PoolGauge} from '../../telemetry';
import {FleetSnapshot} from './machine_views';

/** Logs the load of the pools and of the leader itself, once a second. */
export interface PoolLog {
  /**
   * Logs the pools with work if the last lines are a second old.
   *
   * @param snapshot machines and demand
   * @param readPools returns waiting and placed tasks of the pools
   */
  review(snapshot: FleetSnapshot, readPools: () => readonly PoolGauge[]): void;
}

/** Time in ms between two reports. */
const INTERVAL_MS = 1_000;

/**
 * Creates the log of a term.
 *
 * @param log receives a line per pool with work
 * @param reviewIntervalMs expected time between two reviews, in ms
 */
export function createPoolLog(log: Log, reviewIntervalMs: number): PoolLog {
  let reviewedAt = performance.now();
  let reportedAt = reviewedAt;
  let maxDelayMs = 0;
  let usedBefore = readProcessorMs();

  return {
    review({machines, pools}, readPools) {
      const now = performance.now();
      const delayMs = now - reviewedAt - reviewIntervalMs;
      maxDelayMs = Math.max(maxDelayMs, delayMs);
      reviewedAt = now;
      if (now < reportedAt + INTERVAL_MS) return;
      const elapsedMs = now - reportedAt;
      reportedAt = now;
      const used = readProcessorMs();
      const processorPercent = Math.round(
        (100 * (used - usedBefore)) / elapsedMs,
      );
      usedBefore = used;
      const sizes = new Map<string, number>();
      for (const {pool, serves} of machines.values()) {
        if (serves) sizes.set(pool, (sizes.get(pool) ?? 0) + 1);
      }
      const gauges = new Map(readPools().map(gauge => [gauge.pool, gauge]));
      for (const {name, demandCpuMillis, expectedCpuMillis} of pools) {
        const gauge = gauges.get(name);
        if (!gauge || gauge.placedTasks + gauge.waitingTasks === 0) continue;
        log.info('pool', {
          pool: name,
          machines: sizes.get(name) ?? 0,
          hosts: gauge.hosts,
          waitingTasks: gauge.waitingTasks,
          placedTasks: gauge.placedTasks,
          freeCpuMillis: Math.round(gauge.freeCpuMillis),
          demandCpuMillis: Math.round(demandCpuMillis),
          expectedCpuMillis: Math.round(expectedCpuMillis),
          maxDelayMs: Math.round(maxDelayMs),
          processorPercent,
        });
      }
      maxDelayMs = 0;
    },
  };
}

/** Returns the processor time that this process has used, in ms. */
function readProcessorMs(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / 1_000;
}
