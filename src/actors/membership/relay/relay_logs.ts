import {ChangeLog, createChangeLog} from '../../../state';

/**
 * Store prefixes that every member mirrors and that are relayed between
 * members.
 */
export const RELAYED_PREFIXES: readonly string[] = [
  'members/',
  'leaders/',
  'config/',
  'hosts/',
  'pools/',
  'waves/',
];

/** Change logs of the relayed prefixes and the freshness of their content. */
export interface RelayLogs {
  readonly logs: ReadonlyMap<string, ChangeLog>;
  /** Whether every log has content and the current source is answering. */
  isConnected(): boolean;
  /**
   * Returns the time since the store last confirmed all content, in ms;
   * infinite before the first time.
   */
  getAgeMs(): number;
  /** Records that the store confirmed the content of a prefix `agoMs` ago. */
  confirm(prefix: string, agoMs: number): void;
  /** Records that the source no longer answers. */
  disconnect(): void;
  /**
   * Resolves after a change, the loss of the source or `waitMs`, whichever
   * comes first.
   */
  waitForChange(waitMs: number): Promise<void>;
}

/** Creates empty logs of all relayed prefixes. */
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
