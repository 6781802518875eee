import {WaitingRequest} from './waiting_request';

/** Counts of one pool's running requests, and mean run times. */
export interface RunningRequests {
  readonly count: number;
  start(waiting: WaitingRequest, hostId: string): void;
  end(waiting: WaitingRequest, hostId: string): void;
  countHost(hostId: string): number;
  countTeam(team: string): number;
  /**
   * Returns the number of running requests by host id; idle hosts are left out.
   */
  getCountsByHost(): ReadonlyMap<string, number>;
  /** Records the duration of one run, in ms. */
  recordRun(service: string, runMs: number): void;
  /**
   * Returns the mean run time over all services in ms, or 0 before the first
   * run ends.
   */
  getMeanRunMs(): number;
  /**
   * Returns the mean run time of a service in ms, or 0 before its first run
   * ends.
   */
  getRunMs(service: string): number;
}

/** Weight of the latest run in the exponentially weighted mean. */
const RUN_TIME_WEIGHT = 0.05;

/** Creates counters that start at zero. */
export function createRunningRequests(): RunningRequests {
  const hosts = new Map<string, number>();
  const teams = new Map<string, number>();
  const runMs = new Map<string, number>();
  let meanRunMs: number | undefined;
  let count = 0;

  return {
    get count() {
      return count;
    },
    start({request}, hostId) {
      count += 1;
      change(hosts, hostId, 1);
      change(teams, request.team, 1);
    },
    end({request}, hostId) {
      count -= 1;
      change(hosts, hostId, -1);
      change(teams, request.team, -1);
    },
    countHost: hostId => hosts.get(hostId) ?? 0,
    countTeam: team => teams.get(team) ?? 0,
    getCountsByHost: () => new Map(hosts),
    recordRun(service, value) {
      runMs.set(service, average(runMs.get(service), value));
      meanRunMs = average(meanRunMs, value);
    },
    getMeanRunMs: () => meanRunMs ?? 0,
    getRunMs: service => runMs.get(service) ?? 0,
  };
}

function average(known: number | undefined, value: number): number {
  return known === undefined
    ? value
    : known + RUN_TIME_WEIGHT * (value - known);
}

function change(counts: Map<string, number>, key: string, by: number): void {
  const next = (counts.get(key) ?? 0) + by;
  if (next === 0) counts.delete(key);
  else counts.set(key, next);
}
