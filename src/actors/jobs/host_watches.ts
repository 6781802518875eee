import {WorkerReport} from '../../ports';
import {Host} from '../../types';

/** What a leader knows of one worker's answers; monotonic times in ms. */
export interface HostWatch {
  host: Host;
  /** Last report under this leader's term. */
  report?: WorkerReport;
  /** False after an unanswered call: then reports renew nothing. */
  answering: boolean;
  polling: boolean;
  nextPollAt: number;
  renewedAt: number;
  /** No job is placed here before; set when the worker refused one. */
  avoidUntil: number;
}

/** The workers that a leader follows. */
export interface HostWatches {
  get(hostId: string): HostWatch | undefined;
  /** Adds a worker or takes its new address. */
  see(host: Host): HostWatch;
  all(): Iterable<HostWatch>;
  forget(hostId: string): void;
  /** Returns the boots of the workers as last reported. */
  boots(): ReadonlyMap<string, number>;
}

/** Creates an empty record of workers. */
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
