import {Observation, isFailed} from '../../decisions/fleet';
import {TaskState, WorkerReport, Workers} from '../../ports';
import {runInBackground} from '../../state';
import {UnexpectedErrors} from '../../telemetry';
import {Host} from '../../types';

/** Health probes that a leader sends to the hosts of its pool. */
export interface HostProbes {
  /** Latest observation of each probed host, by host id. */
  readonly observations: ReadonlyMap<string, Observation>;
  /**
   * Starts the probes that are due; hosts in a transitional state are probed
   * more often.
   */
  probeDue(
    hosts: ReadonlyMap<string, Host>,
    inTransition: ReadonlySet<string>,
  ): void;
  /**
   * Probes a host immediately, or at the next call of probeDue if a probe is in
   * flight.
   */
  probeNow(hostId: string): void;
}

interface Probe {
  readonly host: Host;
  observation?: Observation;
  /** Time of the next probe, in ms since the epoch. */
  dueAt: number;
  inFlight: boolean;
  /**
   * Times at which the host failed within the flap window, in ms since the
   * epoch.
   */
  flapTimes: number[];
}

/** Interval of probes of hosts in a stable state. */
const PROBE_INTERVAL_MS = 1_000;
/** Interval of probes of hosts in a transitional state. */
const TRANSITION_PROBE_INTERVAL_MS = 100;
/** Period over which a host's failures are counted as flaps. */
const FLAP_WINDOW_MS = 600_000;
const RUNNING_STATES: readonly TaskState[] = [
  TaskState.Running,
  TaskState.Throttled,
];

/**
 * Creates the probes of a pool's hosts.
 *
 * @param workers client of the workers
 * @param onChange called when an observation changes in a way that may require
 *     a review
 * @param errors receives the errors of single probes
 */
export function createHostProbes(
  workers: Workers,
  onChange: () => void,
  errors: UnexpectedErrors,
): HostProbes {
  const probes = new Map<string, Probe>();
  const observations = new Map<string, Observation>();

  function getOrCreateProbe(host: Host): Probe {
    const known = probes.get(host.id);
    if (known && isSameAddress(known.host, host)) return known;
    const probe = {host, dueAt: 0, inFlight: false, flapTimes: []};
    probes.set(host.id, probe);
    observations.delete(host.id);
    return probe;
  }

  function removeUnlisted(hosts: ReadonlyMap<string, Host>): void {
    for (const hostId of probes.keys()) {
      if (hosts.has(hostId)) continue;
      probes.delete(hostId);
      observations.delete(hostId);
    }
  }

  function start(probe: Probe): void {
    runInBackground(
      () => run(probe),
      error => errors.report('host-probe', error),
    );
  }

  async function run(probe: Probe): Promise<void> {
    probe.inFlight = true;
    const report = await workers.report(probe.host).finally(() => {
      probe.inFlight = false;
    });
    if (probes.get(probe.host.id) !== probe) return;
    const previous = probe.observation;
    const now = Date.now();
    const next = report.isOk
      ? observeReport(previous, report.value, now)
      : observeFailure(previous, now);
    recordFlap(probe, next, now);
    probe.observation = {...next, flaps: probe.flapTimes.length};
    observations.set(probe.host.id, probe.observation);
    if (isSignificantChange(previous, next)) onChange();
  }

  return {
    observations,
    probeDue(hosts, inTransition) {
      const now = Date.now();
      removeUnlisted(hosts);
      for (const host of hosts.values()) {
        const probe = getOrCreateProbe(host);
        if (probe.inFlight || now < probe.dueAt) continue;
        const frequent = inTransition.has(host.id);
        probe.dueAt =
          now + (frequent ? TRANSITION_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS);
        start(probe);
      }
    },
    probeNow(hostId) {
      const probe = probes.get(hostId);
      if (!probe) return;
      probe.dueAt = 0;
      if (!probe.inFlight) start(probe);
    },
  };
}

function isSameAddress(a: Host, b: Host): boolean {
  return a.address === b.address && a.port === b.port;
}

function observeReport(
  previous: Observation | undefined,
  report: WorkerReport,
  now: number,
): Observation {
  const running = report.tasks.filter(task =>
    RUNNING_STATES.includes(task.state),
  );
  const empty = report.draining && report.slotsUsed === 0;
  return {
    reachable: true,
    failures: 0,
    failingSince: 0,
    answeringSince: previous?.reachable ? previous.answeringSince : now,
    flaps: 0,
    bootNumber: report.bootNumber,
    draining: report.draining,
    leaving: report.leaving,
    slotsUsed: report.slotsUsed,
    tasks: running.map(({jobId, attempt}) => ({jobId, attempt})),
    unreleased: report.tasks.length - running.length,
    emptySince: empty ? (previous?.emptySince ?? now) : undefined,
  };
}

function observeFailure(
  previous: Observation | undefined,
  now: number,
): Observation {
  const failing = previous !== undefined && !previous.reachable;
  return {
    flaps: 0,
    answeringSince: 0,
    bootNumber: 0,
    draining: false,
    leaving: false,
    slotsUsed: 0,
    tasks: [],
    unreleased: 0,
    ...previous,
    emptySince: undefined,
    reachable: false,
    failures: (previous?.failures ?? 0) + 1,
    failingSince: failing ? previous.failingSince : now,
  };
}

function recordFlap(probe: Probe, next: Observation, now: number): void {
  const previous = probe.observation;
  const failedBefore = previous !== undefined && isFailed(previous, now);
  probe.flapTimes = probe.flapTimes.filter(at => now - at < FLAP_WINDOW_MS);
  if (isFailed(next, now) && !failedBefore) probe.flapTimes.push(now);
}

function isSignificantChange(
  previous: Observation | undefined,
  next: Observation,
): boolean {
  if (!previous) return true;
  return (
    previous.reachable !== next.reachable ||
    previous.bootNumber !== next.bootNumber ||
    previous.draining !== next.draining ||
    previous.leaving !== next.leaving ||
    previous.slotsUsed !== next.slotsUsed ||
    previous.unreleased !== next.unreleased ||
    next.failures > 0
  );
}
