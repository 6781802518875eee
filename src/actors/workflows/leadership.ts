import {randomUUID} from 'node:crypto';
import {Store, StoreFailure} from '../../ports';
import {delay} from '../../state';
import {Log} from '../../telemetry';
import {LEADER_KEY} from './keys';

/** One term of leadership. */
export interface Term {
  /** Fencing token: rises with every term. */
  readonly fence: number;
  /** Age in ms of the store's last word on the term. */
  getAgeMs(): number;
}

/** Follows the election of the leader and takes part in it. */
export interface Leadership {
  /** Tells what the store's watch saw: the revision of the leader's key, 0 for none. */
  observe(version: number): void;
  /** Gives up the term, if this member has it. */
  resign(cause: string): void;
  /** Ends the term in the store and takes part no longer. */
  dispose(): Promise<void>;
}

/** What the election needs. */
export interface LeadershipOptions {
  readonly store: Store;
  readonly memberId: string;
  /** Length of the leader's lease in ms. */
  readonly leaseMs: number;
  /** Time in ms by which stronger entry hosts stand first. */
  readonly standDelayMs: number;
  readonly log: Log;
  readonly onElected: (term: Term) => void;
  readonly onDeposed: (cause: string) => void;
}

/** Renewals in the time of one lease, so that three may fail; none waits for the one before. */
const RENEWALS_PER_LEASE = 5;
/** Longest wait of a candidate in ms, so that not all write at once. */
const MAX_CANDIDATE_JITTER_MS = 60;
/** Wait after a try that failed, in ms. */
const RETRY_MS = 250;

/**
 * Creates the part that an entry host takes in the election.
 *
 * @param options store, lease and what to call
 */
export function createLeadership({
  store,
  memberId,
  leaseMs,
  standDelayMs,
  log,
  onElected,
  onDeposed,
}: LeadershipOptions): Leadership {
  let fence = 0;
  let leaseId: string | undefined;
  let confirmedAtSteadyMs = 0;
  let confirmedAtWallMs = 0;
  let stopped = false;
  let campaigning = false;
  let leaderSeen = true;

  async function campaign(): Promise<void> {
    if (campaigning || fence > 0) return;
    campaigning = true;
    while (!stopped && fence === 0 && !leaderSeen) {
      await delay(standDelayMs + Math.random() * MAX_CANDIDATE_JITTER_MS);
      if (stopped || leaderSeen) break;
      const answered = await tryToAcquire();
      if (!answered) await delay(RETRY_MS);
    }
    campaigning = false;
  }

  async function tryToAcquire(): Promise<boolean> {
    const startedAt = performance.now();
    const startedWall = Date.now();
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
    confirmedAtSteadyMs = startedAt;
    confirmedAtWallMs = startedWall;
    startRenewing(granted.value, version);
    log.info('leader', {decision: 'elected', fence});
    onElected({fence, getAgeMs});
    return true;
  }

  /** Returns the version of the leader's key if a write without an answer made it. */
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
    const startedWall = Date.now();
    const renewed = await store.renewLease(lease);
    if (fence !== term || renewed.isErr) return;
    if (!renewed.value) return depose('its lease has ended');
    if (startedAt < confirmedAtSteadyMs) return;
    confirmedAtSteadyMs = startedAt;
    confirmedAtWallMs = startedWall;
  }

  /** A suspended machine's steady clock stands still, and the time of day may jump. */
  function getAgeMs(): number {
    return Math.max(
      performance.now() - confirmedAtSteadyMs,
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
      if (fence > 0) depose('the process stops');
      if (lease) await store.revokeLease(lease);
    },
  };
}
