import {randomUUID} from 'node:crypto';
import {Store, StoreFailure} from '../../ports';
import {delay} from '../../state';
import {Log} from '../../telemetry';
import {LEADER_KEY} from './keys';

/** A leadership term of this member. */
export interface Term {
  /** Fencing token; increases with every term. */
  readonly fence: number;
  /** Returns the time in ms since the store last confirmed the term. */
  getAgeMs(): number;
}

/** Takes part in the leader election through the store. */
export interface Leadership {
  /**
   * Reports the watched revision of the leader key; 0 if the key does not
   * exist.
   */
  observe(version: number): void;
  /** Gives up the current term, if this member is the leader. */
  resign(cause: string): void;
  /**
   * Stops taking part in elections and releases the leader lease in the store.
   */
  dispose(): Promise<void>;
}

/** Dependencies and settings of the election. */
export interface LeadershipOptions {
  readonly store: Store;
  readonly memberId: string;
  /** Length of the leader's lease in ms. */
  readonly leaseMs: number;
  /**
   * Delay in ms before this member campaigns, so that entry hosts with more CPU
   * are elected first.
   */
  readonly campaignDelayMs: number;
  readonly log: Log;
  readonly onElected: (term: Term) => void;
  readonly onDeposed: (cause: string) => void;
}

/**
 * Renewals per lease length, so that three may fail. They are sent without
 * waiting for the previous answer.
 */
const RENEWALS_PER_LEASE = 5;
/**
 * Maximum random delay of a candidate in ms, so that candidates do not all
 * write at the same time.
 */
const MAX_CANDIDATE_JITTER_MS = 60;
/** Delay after a failed attempt, in ms. */
const RETRY_MS = 250;

/**
 * Creates an entry host's participation in the leader election.
 *
 * @param options the store, lease settings and callbacks
 */
export function createLeadership({
  store,
  memberId,
  leaseMs,
  campaignDelayMs,
  log,
  onElected,
  onDeposed,
}: LeadershipOptions): Leadership {
  let fence = 0;
  let leaseId: string | undefined;
  let confirmedAtMs = 0;
  let confirmedAtWallMs = 0;
  let stopped = false;
  let campaigning = false;
  let leaderSeen = true;

  async function campaign(): Promise<void> {
    if (campaigning || fence > 0) return;
    campaigning = true;
    while (!stopped && fence === 0 && !leaderSeen) {
      await delay(campaignDelayMs + Math.random() * MAX_CANDIDATE_JITTER_MS);
      if (stopped || leaderSeen) break;
      const answered = await tryToAcquire();
      if (!answered) await delay(RETRY_MS);
    }
    campaigning = false;
  }

  async function tryToAcquire(): Promise<boolean> {
    const startedAt = performance.now();
    const startedAtWallMs = Date.now();
    const granted = await store.grantLease(leaseMs);
    if (granted.isErr) return false;
    const value = JSON.stringify({memberId, token: randomUUID()});
    const swapped = await store.swap({
      key: LEADER_KEY,
      expectedVersion: 0,
      value,
      leaseId: granted.value,
    });
    if (swapped.isOk && !swapped.value.swapped) {
      leaderSeen = swapped.value.found !== undefined;
      void store.revokeLease(granted.value);
      return true;
    }
    const version = swapped.isOk
      ? swapped.value.version
      : await findOwnVersion(swapped.error, value);
    if (version === 0 || stopped) {
      void store.revokeLease(granted.value);
      return false;
    }
    leaseId = granted.value;
    fence = version;
    confirmedAtMs = startedAt;
    confirmedAtWallMs = startedAtWallMs;
    startRenewing(granted.value, version);
    log.info('leader', {decision: 'elected', fence});
    onElected({fence, getAgeMs});
    return true;
  }

  /**
   * Returns the version of the leader key if an unanswered write of this member
   * created it, otherwise 0.
   */
  async function findOwnVersion(
    failure: StoreFailure,
    value: string,
  ): Promise<number> {
    if (failure !== StoreFailure.AnswerLost) return 0;
    const found = await store.get(LEADER_KEY);
    if (found.isErr || found.value?.value !== value) return 0;
    return found.value.version;
  }

  function startRenewing(lease: string, term: number): void {
    const timer = setInterval(() => {
      if (stopped || fence !== term) return clearInterval(timer);
      void renew(lease, term);
    }, leaseMs / RENEWALS_PER_LEASE);
  }

  async function renew(lease: string, term: number): Promise<void> {
    const startedAt = performance.now();
    const startedAtWallMs = Date.now();
    const renewed = await store.renewLease(lease);
    if (fence !== term || renewed.isErr) return;
    if (!renewed.value) return depose('leader lease expired');
    if (startedAt < confirmedAtMs) return;
    confirmedAtMs = startedAt;
    confirmedAtWallMs = startedAtWallMs;
  }

  /**
   * Uses both clocks, since the monotonic clock stops while a machine is
   * suspended and the wall clock may jump.
   */
  function getAgeMs(): number {
    return Math.max(
      performance.now() - confirmedAtMs,
      Date.now() - confirmedAtWallMs,
    );
  }

  function depose(cause: string): void {
    if (fence === 0) return;
    log.warn('leader', {decision: 'deposed', fence, cause});
    fence = 0;
    leaseId = undefined;
    onDeposed(cause);
  }

  return {
    observe(version) {
      leaderSeen = version > 0;
      if (fence > 0 && version !== fence && version > fence) {
        depose('another leader was elected');
      }
      if (fence > 0 && version === 0) return;
      if (!leaderSeen) void campaign();
    },
    resign(cause) {
      const lease = leaseId;
      depose(cause);
      if (lease) void store.revokeLease(lease);
    },
    async dispose() {
      stopped = true;
      const lease = leaseId;
      if (fence > 0) depose('process is stopping');
      if (lease) await store.revokeLease(lease);
    },
  };
}
