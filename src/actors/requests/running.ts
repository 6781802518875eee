import {WaitingRequest} from './waiting_request';

/** The requests of one pool that run at workers now, and how long runs take. */
export interface Running {
  readonly count: number;
  start(waiting: WaitingRequest, hostId: string): void;
  end(waiting: WaitingRequest, hostId: string): void;
  countHost(hostId: string): number;
  countTeam(team: string): number;
  /** Returns the running requests by host id, without empty hosts. */
  getHosts(): ReadonlyMap<string, number>;
  /** Records the time of one run in ms. */
  noteRun(service: string, runMs: number): void;
  /** Returns the mean run time of all services in ms; 0 if none has ended. */
  getMeanRunMs(): number;
  /** Returns the mean run time of a service in ms; 0 if none has ended. */
  getRunMs(service: string): number;
}

const RUN_WEIGHT = 0.05;

/** Creates counts of nothing running. */
export function createRunning(): Running {
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
    getHosts: () => new Map(hosts),
    noteRun(service, value) {
      runMs.set(service, average(runMs.get(service), value));
      meanRunMs = average(meanRunMs, value);
    },
    getMeanRunMs: () => meanRunMs ?? 0,
    getRunMs: service => runMs.get(service) ?? 0,
  };
}

function average(known: number | undefined, value: number): number {
  return known === undefined ? value : known + RUN_WEIGHT * (value - known);
}

function change(counts: Map<string, number>, key: string, by: number): void {
  const next = (counts.get(key) ?? 0) + by;
  if (next === 0) counts.delete(key);
  else counts.set(key, next);
}
