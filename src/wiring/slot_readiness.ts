import {HostState, Loan, PoolHost} from '../types';

/** Tells whether a new entry host can start requests in every pool. */
export interface SlotReadiness {
  /** True from the first time that it holds slots of every pool, or after a limit. */
  isReady(): boolean;
}

/** What the readiness looks at. */
export interface SlotReadinessOptions {
  /** Whether it is known which hosts belong to which pool. */
  readonly isSynced: () => boolean;
  readonly getPools: () => readonly string[];
  readonly getPoolHosts: (pool: string) => readonly PoolHost[];
  readonly getLoans: (pool: string) => readonly Loan[];
}

/** Time after which an entry host without slots is ready all the same, in ms. */
const READY_TIMEOUT_MS = 5_000;

/**
 * Creates the readiness of an entry host that has just started.
 *
 * A leader that took over a moment ago lends nothing new for a while; until
 * then requests would wait here for slots that other entry hosts hold.
 */
export function createSlotReadiness(
  options: SlotReadinessOptions,
): SlotReadiness {
  const startedAt = performance.now();
  let ready = false;

  function holdsSlots(pool: string): boolean {
    const hosts = options.getPoolHosts(pool);
    const isServed = hosts.some(({state}) => state === HostState.Active);
    return !isServed || options.getLoans(pool).some(({slots}) => slots > 0);
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
