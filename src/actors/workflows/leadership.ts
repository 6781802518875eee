import {randomUUID} from 'node:crypto';
import {Store, StoreFailure} from '../../ports';
import {createBackoff, delay, runInBackground} from '../../state';
import {Log, UnexpectedErrors} from '../../telemetry';
import {LEADER_KEY} from './keys';

/** A leadership term of this member. */
export interface Term {
  /** Fencing token; increases with every term. */
  readonly fence: number;
  /** Returns the time in ms since the store last confirmed the term. */
  getAgeMs(): number;
  /** Ends the term after an error, unless it has ended already. */
  fail(cause: string): void;
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
   * The same after an error; this member waits before it stands for election
   * again, longer after each error, so that others are elected first.
   */
  fail(cause: string): void;
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
  readonly errors: UnexpectedErrors;
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
 * Limits of the delay after a term that ended with an error, in ms; the first
 * is longer than an election among the others, the last is what a deployment
 * with a single entry host waits at most.
 */
const MIN_FAILURE_DELAY_MS = 500;
const MAX_FAILURE_DELAY_MS = 8_000;
/** Length in ms of a term after which earlier errors no longer count. */
const SOUND_TERM_MS = 30_000;
/** What failed in the report of errors. */
const ACTIVITY = 'election';

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
  errors,
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
  /** Number of observations of the leader key. */
  let observations = 0;
  const failureBackoff = createBackoff(
    Math.random,
    MIN_FAILURE_DELAY_MS,
    MAX_FAILURE_DELAY_MS,
  );
  /** Monotonic time in ms from which this member may stand for election. */
  let standsFrom = 0;
  /** Monotonic time in ms at which the last term began. */
  let electedAt = 0;

  async function campaign(): Promise<void> {
    if (campaigning || fence > 0) return;
    campaigning = true;
    try {
      while (!stopped && fence === 0 && !leaderSeen) {
        await delay(getCandidateDelayMs());
        if (stopped || leaderSeen) break;
        const answered = await tryToAcquire().catch(reportError);
        if (!answered) await delay(RETRY_MS);
      }
    } finally {
      campaigning = false;
    }
  }

  function getCandidateDelayMs(): number {
    const usualMs = campaignDelayMs + Math.random() * MAX_CANDIDATE_JITTER_MS;
    return Math.max(usualMs, standsFrom - performance.now());
  }

  function reportError(error: unknown): boolean {
    errors.report(ACTIVITY, error);
    return false;
  }

  function run(call: () => unknown): void {
    runInBackground(call, reportError);
  }

  async function tryToAcquire(): Promise<boolean> {
    const startedAt = performance.now();
    const startedAtWallMs = Date.now();
    const granted = await store.grantLease(leaseMs);
    if (granted.isErr) return false;
    const value = JSON.stringify({memberId, token: randomUUID()});
    const observationsBefore = observations;
    const swapped = await store.swap({
      key: LEADER_KEY,
      expectedVersion: 0,
      value,
      leaseId: granted.value,
    });
    if (swapped.isOk && !swapped.value.swapped) {
      // An observation meanwhile may be newer than this answer.
      if (observations === observationsBefore) {
        leaderSeen = swapped.value.found !== undefined;
      }
      run(() => store.revokeLease(granted.value));
      return true;
    }
    const version = swapped.isOk
      ? swapped.value.version
      : await findOwnVersion(swapped.error, value);
    if (version === 0 || stopped) {
      run(() => store.revokeLease(granted.value));
      return false;
    }
    leaseId = granted.value;
    fence = version;
    confirmedAtMs = startedAt;
    confirmedAtWallMs = startedAtWallMs;
    startRenewing(granted.value, version);
    electedAt = startedAt;
    log.info('leader', {decision: 'elected', fence});
    try {
      onElected({
        fence,
        getAgeMs,
        fail(cause) {
          if (fence === version) fail(cause);
        },
      });
    } catch (error) {
      errors.report(ACTIVITY, error);
      fail('error: start of the term');
    }
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
      run(() => renew(lease, term));
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
    run(() => onDeposed(cause));
    // The end of the lease may have been observed before the renewal failed.
    if (!leaderSeen) run(campaign);
  }

  function resign(cause: string): void {
    const lease = leaseId;
    depose(cause);
    if (lease) run(() => store.revokeLease(lease));
  }

  function fail(cause: string): void {
    if (fence === 0) return;
    const now = performance.now();
    if (now > electedAt + SOUND_TERM_MS) failureBackoff.reset();
    standsFrom = now + failureBackoff.next();
    resign(cause);
  }

  return {
    observe(version) {
      leaderSeen = version > 0;
      observations += 1;
      if (fence > 0 && version !== fence && version > fence) {
        depose('another leader was elected');
      }
      if (fence > 0 && version === 0) return;
      if (!leaderSeen) run(campaign);
    },
    resign,
    fail,
    async dispose() {
      stopped = true;
      const lease = leaseId;
      if (fence > 0) depose('process is stopping');
      if (lease) await store.revokeLease(lease);
    },
  };
}
