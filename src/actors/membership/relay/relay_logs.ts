import {ChangeLog, createChangeLog} from '../../../state';

/** Prefixes that every member mirrors; they are relayed between members. */
export const RELAYED_PREFIXES: readonly string[] = [
  'members/',
  'leaders/',
  'config/',
  'hosts/',
  'pools/',
  'waves/',
];

/** One log per relayed prefix, with what is known of its freshness. */
export interface RelayLogs {
  readonly logs: ReadonlyMap<string, ChangeLog>;
  /** True while the store, or a member fed by it, answers. */
  isConnected(): boolean;
  /** Time since the store last confirmed all content, in ms. */
  getAgeMs(): number;
  /** Notes that the content of a prefix was confirmed some time ago. */
  confirm(prefix: string, agoMs: number): void;
  /** Notes that the source no longer answers. */
  disconnect(): void;
  /** Waits for a change, the loss of the source or the end of the time. */
  waitForChange(waitMs: number): Promise<void>;
}

/** Creates empty logs. */
export function createRelayLogs(): RelayLogs {
  const logs = new Map(
    RELAYED_PREFIXES.map(prefix => [prefix, createChangeLog(prefix)]),
  );
  const confirmedAt = new Map<string, number>();
  const waiters = new Set<() => void>();
  let connected = false;

  function notifyWaiters(): void {
    for (const waiter of [...waiters]) waiter();
  }

  for (const log of logs.values()) log.onChange(notifyWaiters);

  return {
    logs,
    isConnected: () => connected && confirmedAt.size === logs.size,
    getAgeMs() {
      if (confirmedAt.size < logs.size) return Infinity;
      return performance.now() - Math.min(...confirmedAt.values());
    },
    confirm(prefix, agoMs) {
      connected = true;
      confirmedAt.set(prefix, performance.now() - agoMs);
    },
    disconnect() {
      connected = false;
      notifyWaiters();
    },
    waitForChange: waitMs =>
      new Promise(resolve => {
        const finish = () => {
          clearTimeout(timer);
          waiters.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, waitMs);
        waiters.add(finish);
      }),
  };
}
