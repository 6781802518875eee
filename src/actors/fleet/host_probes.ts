import {Observation, isFailed} from '../../decisions/fleet';
import {TaskState, WorkerReport, Workers} from '../../ports';
import {Host} from '../../types';

/** A leader's probes of its pool's hosts. */
export interface HostProbes {
  /** What has been seen of each host that was probed. */
  readonly observations: ReadonlyMap<string, Observation>;
  /** Starts the probes that are due; hosts in motion are probed more often. */
  probeDue(
    hosts: ReadonlyMap<string, Host>,
    inMotion: ReadonlySet<string>,
  ): void;
  /** Probes a host at once, or right after the probe that is under way. */
  hasten(hostId: string): void;
}

interface Probe {
  readonly host: Host;
  observation?: Observation;
  dueAt: number;
  inFlight: boolean;
  flapTimes: number[];
}

const STEADY_PROBE_MS = 1_000;
const MOTION_PROBE_MS = 100;
const FLAP_WINDOW_MS = 600_000;
const RUNNING: readonly TaskState[] = [TaskState.Running, TaskState.Throttled];

/**
 * Creates probes that keep what they have seen.
 *
 * @param workers calls to workers
 * @param onNews told of a host whose observation changed in a way that matters
 */
export function createHostProbes(
  workers: Workers,
  onNews: () => void,
): HostProbes {
  const probes = new Map<string, Probe>();
  const observations = new Map<string, Observation>();

  function findProbe(host: Host): Probe {
    const known = probes.get(host.id);
    if (known && isSameAddress(known.host, host)) return known;
    const probe = {host, dueAt: 0, inFlight: false, flapTimes: []};
    probes.set(host.id, probe);
    observations.delete(host.id);
    return probe;
  }

  function forgetOthers(hosts: ReadonlyMap<string, Host>): void {
    for (const hostId of probes.keys()) {
      if (hosts.has(hostId)) continue;
      probes.delete(hostId);
      observations.delete(hostId);
    }
  }

  async function run(probe: Probe): Promise<void> {
    probe.inFlight = true;
    const report = await workers.report(probe.host);
    probe.inFlight = false;
    if (probes.get(probe.host.id) !== probe) return;
    const seen = probe.observation;
    const now = Date.now();
    const next = report.isOk
      ? noteAnswer(seen, report.value, now)
      : noteFailure(seen, now);
    countFlap(probe, next, now);
    probe.observation = {...next, flaps: probe.flapTimes.length};
    observations.set(probe.host.id, probe.observation);
    if (isNews(seen, next)) onNews();
  }

  return {
    observations,
    probeDue(hosts, inMotion) {
      const now = Date.now();
      forgetOthers(hosts);
      for (const host of hosts.values()) {
        const probe = findProbe(host);
        if (probe.inFlight || now < probe.dueAt) continue;
        const often = inMotion.has(host.id);
        probe.dueAt = now + (often ? MOTION_PROBE_MS : STEADY_PROBE_MS);
        void run(probe);
      }
    },
    hasten(hostId) {
      const probe = probes.get(hostId);
      if (!probe) return;
      probe.dueAt = 0;
      if (!probe.inFlight) void run(probe);
    },
  };
}

function isSameAddress(a: Host, b: Host): boolean {
  return a.address === b.address && a.port === b.port;
}

function noteAnswer(
  seen: Observation | undefined,
  report: WorkerReport,
  now: number,
): Observation {
  const running = report.tasks.filter(task => RUNNING.includes(task.state));
  const empty = report.draining && report.slotsUsed === 0;
  return {
    reachable: true,
    failures: 0,
    failingSince: 0,
    answeringSince: seen?.reachable ? seen.answeringSince : now,
    flaps: 0,
    bootNumber: report.bootNumber,
    draining: report.draining,
    leaving: report.leaving,
    slotsUsed: report.slotsUsed,
    tasks: running.map(({jobId, attempt}) => ({jobId, attempt})),
    unreleased: report.tasks.length - running.length,
    emptySince: empty ? (seen?.emptySince ?? now) : undefined,
  };
}

function noteFailure(seen: Observation | undefined, now: number): Observation {
  const failing = seen !== undefined && !seen.reachable;
  return {
    flaps: 0,
    answeringSince: 0,
    bootNumber: 0,
    draining: false,
    leaving: false,
    slotsUsed: 0,
    tasks: [],
    unreleased: 0,
    ...seen,
    emptySince: undefined,
    reachable: false,
    failures: (seen?.failures ?? 0) + 1,
    failingSince: failing ? seen.failingSince : now,
  };
}

function countFlap(probe: Probe, next: Observation, now: number): void {
  const seen = probe.observation;
  const failedBefore = seen !== undefined && isFailed(seen, now);
  probe.flapTimes = probe.flapTimes.filter(at => now - at < FLAP_WINDOW_MS);
  if (isFailed(next, now) && !failedBefore) probe.flapTimes.push(now);
}

function isNews(seen: Observation | undefined, next: Observation): boolean {
  if (!seen) return true;
  return (
    seen.reachable !== next.reachable ||
    seen.bootNumber !== next.bootNumber ||
    seen.draining !== next.draining ||
    seen.leaving !== next.leaving ||
    seen.slotsUsed !== next.slotsUsed ||
    seen.unreleased !== next.unreleased ||
    next.failures > 0
  );
}
