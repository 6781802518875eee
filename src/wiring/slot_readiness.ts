import {HostState, Loan, PoolHost} from '../types';

/** Whether a new entry host can start requests in every pool. */
export interface SlotReadiness {
  /**
   * Returns true once the entry host has held slots of every pool with active
   * hosts, or after a timeout.
   */
  isReady(): boolean;
}

/** Inputs of the readiness check. */
export interface SlotReadinessOptions {
  /** Whether the assignments of hosts to pools have been loaded. */
  readonly isSynced: () => boolean;
  readonly getPools: () => readonly string[];
  readonly getPoolHosts: (pool: string) => readonly PoolHost[];
  readonly getLoans: (pool: string) => readonly Loan[];
}

/** Time after which an entry host is ready even without slots, in ms. */
const READY_TIMEOUT_MS = 5_000;

/**
 * Creates the readiness check of an entry host that has just started.
 *
 * A newly elected leader makes no new loans for a while. Until it does,
 * requests sent to this entry host would wait for slots that other entry hosts
 * hold.
 */
export function createSlotReadiness(
  options: SlotReadinessOptions,
): SlotReadiness {
  const startedAt = performance.now();
  let ready = false;

  function holdsSlots(pool: string): boolean {
    const hosts = options.getPoolHosts(pool);
    const hasActiveHosts = hosts.some(({state}) => state === HostState.Active);
    return (
      !hasActiveHosts || options.getLoans(pool).some(({slots}) => slots > 0)
    );
  }

  return {
    isReady() {
      if (ready) return true;
      const timedOut = performance.now() - startedAt >= READY_TIMEOUT_MS;
      const holdsAllSlots = () => options.getPools().every(holdsSlots);
      ready = timedOut || (options.isSynced() && holdsAllSlots());
      return ready;
    },
  };
}
