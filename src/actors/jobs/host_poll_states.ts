import {WorkerReport} from '../../ports';
import {Host} from '../../types';

/** Poll state of one worker; times are monotonic, in ms. */
export interface HostPollState {
  host: Host;
  /** Latest report received under this leader's term. */
  report?: WorkerReport;
  /**
   * False after a poll that failed once connected; until the next response,
   * polls renew no leases.
   */
  responsive: boolean;
  polling: boolean;
  nextPollAt: number;
  renewedAt: number;
  /**
   * Time before which no job is placed on the worker; set after a failed start.
   */
  avoidUntil: number;
}

/** Poll states of the workers of a pool. */
export interface HostPollStates {
  get(hostId: string): HostPollState | undefined;
  /** Adds a worker, or updates its host if it is known. */
  upsert(host: Host): HostPollState;
  all(): Iterable<HostPollState>;
  remove(hostId: string): void;
  /** Returns the last reported boot number of each worker. */
  getBootNumbers(): ReadonlyMap<string, number>;
}

/** Creates an empty collection of poll states. */
export function createHostPollStates(): HostPollStates {
  const states = new Map<string, HostPollState>();
  return {
    get: hostId => states.get(hostId),
    upsert(host) {
      const known = states.get(host.id);
      if (known) {
        known.host = host;
        return known;
      }
      const created: HostPollState = {
        host,
        responsive: true,
        polling: false,
        nextPollAt: 0,
        renewedAt: 0,
        avoidUntil: 0,
      };
      states.set(host.id, created);
      return created;
    },
    all: () => states.values(),
    remove: hostId => void states.delete(hostId),
    getBootNumbers() {
      const boots = new Map<string, number>();
      for (const {host, report} of states.values()) {
        if (report) boots.set(host.id, report.bootNumber);
      }
      return boots;
    },
  };
}
