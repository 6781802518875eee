import {ActorSystemRef} from 'nact';
import {
  ClaimIdentity,
  ClaimReply,
  ClaimRequest,
  ClaimVerdict,
  FinishRequest,
  PARTITION_COUNT,
} from '../../decisions/claims';
import {findPreferredMember} from '../../decisions/membership';
import {AnyPeerHandler, PeerMethod, Peers, Store} from '../../ports';
import {claimMethod, finishMethod} from '../../protocol';
import {createBackoff, delay} from '../../state';
import {Telemetry} from '../../telemetry';
import {Member} from '../../types';
import {
  ClaimPartitionActor,
  createClaimPartitionActor,
} from './claim_partition_actor';

/**
 * Claims of idempotency keys, made through the member that owns the key's
 * partition.
 */
export interface Claims {
  /**
   * Claims a key; the verdict is Granted only if the claim became durable
   * within the timeout.
   */
  claim(
    identity: ClaimIdentity,
    requestId: string,
    timeoutMs: number,
  ): Promise<ClaimReply>;
  /**
   * Reports the end of a claimed request, with retries until the end is
   * recorded.
   */
  finish(request: FinishRequest): Promise<void>;
  /** Handlers of the calls of other members. */
  readonly handlers: readonly AnyPeerHandler[];
  /** Resolves once all reported ends are recorded, or after a timeout. */
  drain(): Promise<void>;
  /** Returns the number of claims held in memory. */
  getRetained(): number;
  dispose(): void;
}

/** Options for {@link createClaims}. */
export interface ClaimsOptions {
  readonly system: ActorSystemRef;
  readonly store: Store;
  readonly peers: Peers;
  readonly telemetry: Telemetry;
  readonly memberId: string;
  readonly getMembers: () => readonly Member[];
  /** Mean interval between commits of a partition under load, in ms. */
  readonly commitSpacingMs?: number;
  /** Minimum time for which a claim is retained, in ms. */
  readonly retentionMs?: number;
}

/** Default mean interval between commits of a partition under load, in ms. */
export const COMMIT_SPACING_MS = 160;
/** Default minimum time for which a claim is retained, in ms. */
export const CLAIM_RETENTION_MS = 86_400_000;

const PEER_TIMEOUT_MS = 1_000;
/**
 * Share of a claim's timeout that the owner gets before this member commits the
 * claim itself.
 */
const OWNER_TIMEOUT_SHARE = 0.6;
/** Time for which an owner that did not respond is bypassed, in ms. */
const OWNER_BYPASS_MS = 3_000;
const MAX_FINISH_ATTEMPTS = 12;
const DRAIN_TIMEOUT_MS = 3_000;

/**
 * Creates the claims of one member.
 *
 * Routing claims to one owner only reduces store writes. Any member may commit,
 * since a commit takes effect only if the partition has not been written since
 * it was read. A member therefore commits itself if the owner does not respond.
 */
export function createClaims(options: ClaimsOptions): Claims {
  const {peers, memberId, telemetry} = options;
  const partitions = new Map<number, ClaimPartitionActor>();
  const bypassUntil = new Map<string, number>();
  const unfinished = new Set<Promise<void>>();
  const abort = new AbortController();

  function findOwner(partition: number): Member | undefined {
    return findPreferredMember(`claims-${partition}`, options.getMembers());
  }

  function getPartition(partition: number): ClaimPartitionActor {
    const known = partitions.get(partition);
    if (known) return known;
    const created = createClaimPartitionActor({
      ...options,
      partition,
      commitSpacingMs: options.commitSpacingMs ?? COMMIT_SPACING_MS,
      retentionMs: options.retentionMs ?? CLAIM_RETENTION_MS,
      isOwner: () => findOwner(partition)?.id === memberId,
    });
    partitions.set(partition, created);
    return created;
  }

  async function askOwner<Request extends {partition: number}, Reply>(
    method: PeerMethod<Request, Reply>,
    request: Request,
    timeoutMs: number,
  ): Promise<Reply | undefined> {
    const owner = findOwner(request.partition);
    if (!owner || owner.id === memberId) return undefined;
    if ((bypassUntil.get(owner.id) ?? 0) > performance.now()) return undefined;
    const reply = await peers.call(owner, method, request, timeoutMs);
    if (reply.isOk) return reply.value;
    bypassUntil.set(owner.id, performance.now() + OWNER_BYPASS_MS);
    telemetry.log.warn('the owner of a claims partition gave no answer', {
      owner: owner.id,
      partition: request.partition,
      failure: reply.error,
    });
    return undefined;
  }

  async function claim(request: ClaimRequest): Promise<ClaimReply> {
    const deadlineAt = performance.now() + request.timeoutMs;
    const ownerTimeoutMs = Math.round(request.timeoutMs * OWNER_TIMEOUT_SHARE);
    const peerTimeoutMs = Math.min(PEER_TIMEOUT_MS, ownerTimeoutMs);
    const forwarded = {...request, timeoutMs: peerTimeoutMs};
    const reply = await askOwner(claimMethod, forwarded, peerTimeoutMs);
    const timeoutMs = Math.round(deadlineAt - performance.now());
    if (timeoutMs <= 0) return {verdict: ClaimVerdict.Unavailable};
    const final =
      reply ??
      (await getPartition(request.partition).claim({...request, timeoutMs}));
    const late = performance.now() >= deadlineAt;
    return late ? {verdict: ClaimVerdict.Unavailable} : final;
  }

  async function finishUntilRecorded(request: FinishRequest): Promise<void> {
    const backoff = createBackoff();
    for (let attempts = 0; attempts < MAX_FINISH_ATTEMPTS; attempts += 1) {
      const reply = await askOwner(finishMethod, request, PEER_TIMEOUT_MS);
      const finished = reply ?? (await finishLocally(request));
      if (finished.recorded || abort.signal.aborted) return;
      await delay(backoff.next(), abort.signal);
    }
  }

  async function finishLocally(request: FinishRequest) {
    try {
      return await getPartition(request.partition).finish(request);
    } catch {
      return {recorded: false};
    }
  }

  return {
    async claim({partition, key, fingerprint}, requestId, timeoutMs) {
      try {
        const request = {partition, key, fingerprint, requestId, timeoutMs};
        return await claim(request);
      } catch {
        return {verdict: ClaimVerdict.Unavailable};
      }
    },
    finish(request) {
      const done = finishUntilRecorded(request).finally(() =>
        unfinished.delete(done),
      );
      unfinished.add(done);
      return done;
    },
    handlers: [
      {
        method: claimMethod,
        handle: async (request: ClaimRequest) => {
          checkPartition(request.partition);
          return getPartition(request.partition).claim(request);
        },
      },
      {
        method: finishMethod,
        handle: async (request: FinishRequest) => {
          checkPartition(request.partition);
          return getPartition(request.partition).finish(request);
        },
      },
    ],
    async drain() {
      const timeout = new AbortController();
      const all = Promise.all(unfinished).then(() => timeout.abort());
      await Promise.race([all, delay(DRAIN_TIMEOUT_MS, timeout.signal)]);
    },
    getRetained: () =>
      [...partitions.values()].reduce((sum, p) => sum + p.getRetained(), 0),
    dispose() {
      abort.abort();
      for (const partition of partitions.values()) partition.dispose();
      partitions.clear();
    },
  };
}

function checkPartition(partition: number): void {
  if (partition < PARTITION_COUNT) return;
  throw new Error(`claims partition ${partition} is out of range`);
}
