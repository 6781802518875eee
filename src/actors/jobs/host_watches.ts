import {WorkerReport} from '../../ports';
import {Host} from '../../types';

/** Poll state of one worker; times are monotonic, in ms. */
export interface HostWatch {
  host: Host;
  /** Latest report received under this leader's term. */
  report?: WorkerReport;
  /** False after an unanswered poll; until the next response, polls renew no leases. */
  answering: boolean;
  polling: boolean;
  nextPollAt: number;
  renewedAt: number;
  /** Time before which no job is placed on the worker; set after a failed start. */
  avoidUntil: number;
}

/** Poll states of the workers of a pool. */
export interface HostWatches {
  get(hostId: string): HostWatch | undefined;
  /** Adds a worker, or updates its host if it is known. */
  see(host: Host): HostWatch;
  all(): Iterable<HostWatch>;
  forget(hostId: string): void;
  /** Returns the last reported boot number of each worker. */
  boots(): ReadonlyMap<string, number>;
}

/** Creates an empty collection of poll states. */
export function createHostWatches(): HostWatches {
  const watches = new Map<string, HostWatch>();
  return {
    get: hostId => watches.get(hostId),
    see(host) {
      const known = watches.get(host.id);
      if (known) {
        known.host = host;
        return known;
      }
      const created: HostWatch = {
        host,
        answering: true,
        polling: false,
        nextPollAt: 0,
        renewedAt: 0,
        avoidUntil: 0,
      };
      watches.set(host.id, created);
      return created;
    },
    all: () => watches.values(),
    forget: hostId => void watches.delete(hostId),
    boots() {
      const boots = new Map<string, number>();
      for (const {host, report} of watches.values()) {
        if (report) boots.set(host.id, report.bootNumber);
      }
      return boots;
    },
  };
}
