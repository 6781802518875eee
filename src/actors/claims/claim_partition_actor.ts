import {ActorSystemRef, Ref, dispatch} from 'nact';
import {Result} from 'true-myth';
import {
  ClaimEvent,
  ClaimEventKind,
  ClaimRecord,
  ClaimReply,
  ClaimRequest,
  ClaimVerdict,
  FinishReply,
  FinishRequest,
  FULL_BUCKET,
  Generation,
  applyEvent,
  evaluateClaim,
  getNextCommitTime,
  replayGenerations,
  takeBatch,
  takeCommit,
} from '../../decisions/claims';
import {Store, StoreFailure} from '../../ports';
import {runInBackground} from '../../state';
import {Telemetry} from '../../telemetry';
import {DecisionKind, Outcome} from '../../types';
import {createActor, createTicker} from '../shared';
import {AppendFailure} from './append_failure';
import {createPartitionLog} from './partition_log';

/**
 * Owner of one partition of the idempotency keys; commits claims in batches.
 */
export interface ClaimPartitionActor {
  claim(request: ClaimRequest): Promise<ClaimReply>;
  finish(request: FinishRequest): Promise<FinishReply>;
  /** Returns the number of claims held in memory. */
  getRetained(): number;
  dispose(): void;
}

/** Options for {@link createClaimPartitionActor}. */
export interface ClaimPartitionOptions {
  readonly system: ActorSystemRef;
  readonly store: Store;
  readonly telemetry: Telemetry;
  readonly memberId: string;
  readonly partition: number;
  /** Mean interval between commits under load, in ms. */
  readonly commitSpacingMs: number;
  /** Minimum time for which a claim is retained, in ms. */
  readonly retentionMs: number;
  /** Whether this member is the preferred owner of the partition. */
  readonly isOwner: () => boolean;
}

interface PendingFinish {
  readonly event: ClaimEvent;
  readonly reply: Ref<FinishReply>;
}

interface PendingClaim {
  readonly request: ClaimRequest;
  readonly reply: Ref<ClaimReply>;
  /** Monotonic time at which the requesting member times out, in ms. */
  readonly expiresAt: number;
}

enum MessageKind {
  Claim,
  Finish,
  Loaded,
  Committed,
  CommitDue,
  Review,
  Expired,
}

type Message =
  | {readonly kind: MessageKind.Claim; readonly pending: PendingClaim}
  | {
      readonly kind: MessageKind.Finish;
      readonly request: FinishRequest;
      readonly reply: Ref<FinishReply>;
    }
  | {
      readonly kind: MessageKind.Loaded;
      readonly loaded: Result<readonly Generation[], StoreFailure>;
    }
  | {
      readonly kind: MessageKind.Committed;
      readonly result: Result<Generation, AppendFailure>;
    }
  | {readonly kind: MessageKind.CommitDue}
  | {readonly kind: MessageKind.Review}
  | {readonly kind: MessageKind.Expired; readonly generation: number};

enum Phase {
  Unloaded,
  Loading,
  Ready,
  Committing,
}

/**
 * Maximum time before queued ends of requests are committed without a claim,
 * and after which an uncertain commit is no longer checked, in ms.
 */
const MAX_FINISH_DELAY_MS = 500;
const COMMIT_RETRY_MS = 1_000;
const MAX_PENDING = 10_000;
const REVIEW_INTERVAL_MS = 60_000;

/** Creates the owner of a partition; the partition is loaded on first use. */
export function createClaimPartitionActor(
  options: ClaimPartitionOptions,
): ClaimPartitionActor {
  const {system, telemetry, partition, commitSpacingMs} = options;
  const log = createPartitionLog({
    ...options,
    owner: options.memberId,
    onInvalid: (key, cause) =>
      telemetry.reportInvalidEntry('store', key, cause),
  });
  let phase = Phase.Unloaded;
  let records = new Map<string, ClaimRecord>();
  /** Claims received before the partition is loaded. */
  let awaitingLoad: PendingClaim[] = [];
  /** Claims whose events are not committed yet, by key. */
  let uncommitted = new Map<string, PendingClaim>();
  /**
   * Claims that wait for the end of an earlier request with the same key, by
   * key.
   */
  const waitingRepeats = new Map<string, PendingClaim[]>();
  /** Reported ends that are confirmed once committed. */
  let pendingFinishes: readonly PendingFinish[] = [];
  let queued: ClaimEvent[] = [];
  let batch: readonly ClaimEvent[] = [];
  let bucket = FULL_BUCKET;
  let finishCommitDueAt = Infinity;
  let timer: NodeJS.Timeout | undefined;

  const actor = createActor<undefined, Message>({
    system,
    name: `claims-${partition}`,
    initial: undefined,
    errors: telemetry.errors,
    handle: (_, message) => {
      handle(message);
      return undefined;
    },
  });

  function reportError(error: unknown): void {
    telemetry.errors.report('claims', error, {partition});
  }

  function handle(message: Message): void {
    switch (message.kind) {
      case MessageKind.Claim:
        receive(message.pending);
        break;
      case MessageKind.Finish:
        finish(message.request, message.reply);
        break;
      case MessageKind.Loaded:
        handleLoaded(message.loaded);
        break;
      case MessageKind.Committed:
        handleCommitted(message.result);
        break;
      case MessageKind.CommitDue:
        break;
      case MessageKind.Review:
        review();
        break;
      case MessageKind.Expired:
        removeExpired(message.generation);
        break;
    }
    scheduleCommit();
  }

  function receive(pending: PendingClaim): void {
    if (awaitingLoad.length + queued.length >= MAX_PENDING) {
      return answer(pending, ClaimVerdict.Unavailable);
    }
    if (phase === Phase.Unloaded || phase === Phase.Loading) {
      awaitingLoad.push(pending);
      return load();
    }
    decide(pending);
  }

  function load(): void {
    if (phase !== Phase.Unloaded) return;
    phase = Phase.Loading;
    runInBackground(async () => {
      const loaded = await log.load().catch(error => {
        reportError(error);
        return Result.err<readonly Generation[], StoreFailure>(
          StoreFailure.AnswerLost,
        );
      });
      actor.tell({kind: MessageKind.Loaded, loaded});
    }, reportError);
  }

  function handleLoaded(
    loaded: Result<readonly Generation[], StoreFailure>,
  ): void {
    const waiting = awaitingLoad;
    awaitingLoad = [];
    if (loaded.isErr) {
      phase = Phase.Unloaded;
      waiting.forEach(pending => answer(pending, ClaimVerdict.Unavailable));
      return;
    }
    phase = Phase.Ready;
    records = replayGenerations(loaded.value);
    for (const event of queued) applyEvent(records, event, Infinity);
    telemetry.recordDecision({
      kind: DecisionKind.Claim,
      subject: `claims-${partition}`,
      pool: '',
      cause: `${options.memberId} took over claims partition ${partition}`,
      inputs: {term: log.getTerm(), retained: records.size},
    });
    waiting.forEach(decide);
  }

  function decide(pending: PendingClaim): void {
    if (performance.now() >= pending.expiresAt) {
      return answer(pending, ClaimVerdict.Unavailable);
    }
    const {request} = pending;
    const known = records.get(request.key);
    if (!known) return propose(pending);
    const reply = evaluateClaim(known, request);
    if (reply.verdict === ClaimVerdict.Granted) {
      if (uncommitted.has(request.key)) uncommitted.set(request.key, pending);
      else dispatch(pending.reply, reply);
      return;
    }
    if (reply.verdict === ClaimVerdict.Running) return awaitEnd(pending);
    dispatch(pending.reply, reply);
  }

  function propose(pending: PendingClaim): void {
    const {key, requestId, fingerprint} = pending.request;
    enqueue({kind: ClaimEventKind.Claim, key, requestId, fingerprint});
    uncommitted.set(key, pending);
  }

  function enqueue(event: ClaimEvent): void {
    queued.push(event);
    applyEvent(records, event, Infinity);
  }

  function awaitEnd(pending: PendingClaim): void {
    const {key} = pending.request;
    waitingRepeats.set(key, [...(waitingRepeats.get(key) ?? []), pending]);
    const leftMs = pending.expiresAt - performance.now();
    setTimeout(() => {
      const waiting = waitingRepeats
        .get(key)
        ?.filter(other => other !== pending);
      if (waiting?.length) waitingRepeats.set(key, waiting);
      else waitingRepeats.delete(key);
      answer(pending, ClaimVerdict.Running);
    }, leftMs / 2).unref?.();
  }

  function finish(request: FinishRequest, reply: Ref<FinishReply>): void {
    const {key, requestId, outcome} = request;
    const answer = request.answer ?? undefined;
    const released = outcome === Outcome.NotRun;
    const event: ClaimEvent = released
      ? {kind: ClaimEventKind.Release, key, requestId}
      : {kind: ClaimEventKind.Finish, key, requestId, outcome, answer};
    enqueue(event);
    finishCommitDueAt = Math.min(
      finishCommitDueAt,
      performance.now() + MAX_FINISH_DELAY_MS,
    );
    if (released) dispatch(reply, {recorded: true});
    else pendingFinishes = [...pendingFinishes, {event, reply}];
    const waiting = waitingRepeats.get(key) ?? [];
    waitingRepeats.delete(key);
    waiting.forEach(receive);
    load();
  }

  function scheduleCommit(): void {
    clearTimeout(timer);
    if (phase !== Phase.Ready || queued.length === 0) return;
    const now = performance.now();
    const wanted = uncommitted.size > 0 ? now : finishCommitDueAt;
    const dueAt = Math.max(wanted, getNextCommitTime(bucket, commitSpacingMs));
    if (dueAt <= now) return commit();
    timer = setTimeout(
      () => actor.tell({kind: MessageKind.CommitDue}),
      dueAt - now,
    );
  }

  function commit(): void {
    phase = Phase.Committing;
    batch = takeBatch(queued);
    queued = queued.slice(batch.length);
    finishCommitDueAt = queued.length > 0 ? performance.now() : Infinity;
    const now = performance.now();
    bucket = takeCommit(bucket, commitSpacingMs, now);
    const deadlineAt = now + MAX_FINISH_DELAY_MS;
    runInBackground(async () => {
      const result = await log.append(batch, deadlineAt).catch(error => {
        reportError(error);
        return Result.err<Generation, AppendFailure>(AppendFailure.Unknown);
      });
      actor.tell({kind: MessageKind.Committed, result});
    }, reportError);
  }

  function handleCommitted(result: Result<Generation, AppendFailure>): void {
    phase = Phase.Ready;
    const settled = batch;
    batch = [];
    if (result.isOk) return confirm(settled, result.value.number);
    reject(settled, result.error);
  }

  function confirm(settled: readonly ClaimEvent[], generation: number): void {
    for (const event of settled) {
      const record = records.get(event.key);
      if (record) records.set(event.key, {...record, generation});
      if (event.kind === ClaimEventKind.Claim) grant(event);
    }
    const done = new Set(settled);
    for (const {event, reply} of pendingFinishes) {
      if (done.has(event)) dispatch(reply, {recorded: true});
    }
    pendingFinishes = pendingFinishes.filter(({event}) => !done.has(event));
  }

  function grant({key, requestId}: ClaimEvent): void {
    const pending = uncommitted.get(key);
    if (pending?.request.requestId !== requestId) return;
    uncommitted.delete(key);
    const inTime = performance.now() < pending.expiresAt;
    answer(pending, inTime ? ClaimVerdict.Granted : ClaimVerdict.Unavailable);
  }

  /**
   * Rolls back the claims of a failed commit; ends of requests are queued for
   * the next commit.
   */
  function reject(
    settled: readonly ClaimEvent[],
    failure: AppendFailure,
  ): void {
    telemetry.recordDecision({
      kind: DecisionKind.Claim,
      subject: `claims-${partition}`,
      pool: '',
      cause: `commit of claims partition ${partition} failed: ${failure}`,
      inputs: {term: log.getTerm(), events: settled.length},
    });
    const waiting = [...uncommitted.values()];
    uncommitted = new Map();
    const events = [...settled, ...queued];
    queued = events.filter(({kind}) => kind !== ClaimEventKind.Claim);
    finishCommitDueAt =
      queued.length > 0 ? performance.now() + COMMIT_RETRY_MS : Infinity;
    if (failure === AppendFailure.Unavailable) rollBackClaims(events);
    else phase = Phase.Unloaded;
    if (failure === AppendFailure.Fenced) awaitingLoad.push(...waiting);
    else waiting.forEach(pending => answer(pending, ClaimVerdict.Unavailable));
    if (awaitingLoad.length > 0 || queued.length > 0) load();
  }

  function rollBackClaims(events: readonly ClaimEvent[]): void {
    for (const {kind, key, requestId} of events) {
      if (kind !== ClaimEventKind.Claim) continue;
      if (records.get(key)?.requestId === requestId) records.delete(key);
    }
  }

  function review(): void {
    if (phase !== Phase.Ready) return;
    if (!options.isOwner() && queued.length === 0) return unload();
    runInBackground(async () => {
      const generation = await log.expire();
      actor.tell({kind: MessageKind.Expired, generation});
    }, reportError);
  }

  function unload(): void {
    phase = Phase.Unloaded;
    records = new Map();
  }

  function removeExpired(generation: number): void {
    for (const [key, record] of records) {
      if (record.generation <= generation) records.delete(key);
    }
  }

  function answer(pending: PendingClaim, verdict: ClaimVerdict): void {
    dispatch(pending.reply, {verdict});
  }

  const ticker = createTicker({
    intervalMs: REVIEW_INTERVAL_MS,
    activity: 'claims-review',
    tick: () => actor.tell({kind: MessageKind.Review}),
    errors: telemetry.errors,
  });

  return {
    claim: request =>
      actor.ask(reply => ({
        kind: MessageKind.Claim,
        pending: {
          request,
          reply,
          expiresAt: performance.now() + request.timeoutMs,
        },
      })),
    finish: request =>
      actor.ask(reply => ({kind: MessageKind.Finish, request, reply})),
    getRetained: () => records.size,
    dispose() {
      clearTimeout(timer);
      ticker.dispose();
      actor.dispose();
    },
  };
}
