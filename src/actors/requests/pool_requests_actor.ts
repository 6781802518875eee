import {ActorSystemRef} from 'nact';
import {finished} from 'node:stream';
import {Result} from 'true-myth';
import {
  WorkerCandidate,
  findAdmissionRefusal,
  findRetryReason,
  findSlotNeed,
  getOutcome,
} from '../../decisions/requests';
import {Workers, WorkerFailure} from '../../ports';
import {runInBackground} from '../../state';
import {Telemetry} from '../../telemetry';
import {
  DecisionKind,
  Host,
  HostState,
  Outcome,
  PoolHost,
  Profile,
  RefusalReason,
  RetryReason,
} from '../../types';
import {Actor, createActor} from '../shared';
import {SlotUsage} from '../slots';
import {Answer} from './answer';
import {createDemandMeter} from './demand_meter';
import {InteractiveRequest} from './interactive_request';
import {Refusal} from './refusal';
import {
  findFirstByteTimeout,
  findAttemptTimeout,
  findMaxRunTime,
} from './attempt_timeouts';
import {RequestMessage, RequestMessageKind} from './request_message';
import {createRequestQueue, teamWeight} from './request_queue';
import {createRequestRefuser} from './request_refuser';
import {createRequestRetrier} from './request_retrier';
import {createRunningRequests} from './running_requests';
import {SlotSharing} from './slot_sharing';
import {WaitingRequest} from './waiting_request';
import {createWorkerRecords} from './worker_records';

/** Queues and dispatches the requests of one pool at one entry host. */
export interface PoolRequestsActor {
  /** Runs a request under the profile of its service. */
  run(
    request: InteractiveRequest,
    profile: Profile,
  ): Promise<Result<Answer, Refusal>>;
  /** Returns the number of requests that wait or run. */
  getInFlight(): number;
  /**
   * Returns the slot usage and starts a new period of the demand measurement.
   */
  takeUsage(): SlotUsage;
  /** Dispatches waiting requests, for example after slots have been lent. */
  dispatchQueued(): void;
  dispose(): void;
}

/** Options for {@link createPoolRequestsActor}. */
export interface PoolRequestsOptions {
  readonly system: ActorSystemRef;
  readonly workers: Workers;
  readonly telemetry: Telemetry;
  readonly pool: string;
  readonly availabilityZone: string;
  /** Lower bound of the first-byte timeout of idempotent requests, in ms. */
  readonly silenceMs: number;
  readonly getHosts: () => readonly PoolHost[];
  /**
   * Returns how many hosts may be unavailable at once under the pool's profile.
   */
  readonly getMaxUnavailable: () => number;
  readonly sharing: SlotSharing;
}

const REVIEW_INTERVAL_MS = 50;
const MIN_SERVER_ERROR_STATUS = 500;

/** Creates the actor that queues and dispatches the requests of one pool. */
export function createPoolRequestsActor(
  options: PoolRequestsOptions,
): PoolRequestsActor {
  const {system, workers, telemetry, pool, sharing} = options;
  const queue = createRequestQueue();
  const running = createRunningRequests();
  const records = createWorkerRecords();
  const meter = createDemandMeter();
  const {refuse, refuseExpired, refuseUnreachable} = createRequestRefuser(
    telemetry,
    pool,
  );
  const retrier = createRequestRetrier(telemetry, pool, queue);
  let hosts: readonly PoolHost[] = [];
  let hostsById: ReadonlyMap<string, PoolHost> = new Map();

  const actor: Actor<RequestMessage> = createActor<undefined, RequestMessage>({
    system,
    name: `requests-${pool}`,
    initial: undefined,
    errors: telemetry.errors,
    handle: (_, message) => {
      updateHosts();
      handle(message);
      dispatchQueue();
      meter.set(running.count, queue.size);
      return undefined;
    },
  });

  function handle(message: RequestMessage): void {
    switch (message.kind) {
      case RequestMessageKind.Submit:
        return submit(message.waiting);
      case RequestMessageKind.Answered:
        return answer(message);
      case RequestMessageKind.Ended:
        return endRun(message);
      case RequestMessageKind.Failed:
        return fail(message.waiting, message.host, message.failure);
      case RequestMessageKind.Review:
        return refuseAllExpired();
    }
  }

  function updateHosts(): void {
    const current = options.getHosts();
    if (current === hosts) return;
    hosts = current;
    hostsById = new Map(hosts.map(known => [known.host.id, known]));
    records.setHosts(hosts);
  }

  function submit(waiting: WaitingRequest): void {
    const {request, profile} = waiting;
    const {rank} = profile;
    const weight = teamWeight(waiting);
    const refusal = findAdmissionRefusal({
      timeLeftMs: waiting.deadlineAt - performance.now(),
      runMs: running.getRunMs(request.service),
      slots: Math.max(sharing.getGuaranteedSlots(pool), running.count),
      running: running.count,
      waiting: queue.countRank(rank),
      queueLimit: profile.queueLimit,
      ahead: queue.countRankAndAbove(rank),
      teamAhead: queue.countTeam(rank, request.team),
      teamShare: queue.getTeamShare(rank, request.team, weight),
    });
    if (!refusal) return queue.add(waiting);
    refuse(waiting, {
      reason: refusal.reason,
      outcome: Outcome.NotRun,
      detail: `${queue.size} requests wait, about ${Math.round(refusal.waitMs)} ms`,
      retryAfterMs: Math.ceil(refusal.retryAfterMs),
    });
  }

  function refuseAllExpired(): void {
    const now = performance.now();
    const expired = queue.takeAll(
      ({deadlineAt, request}) =>
        deadlineAt <= now || request.signal?.aborted === true,
    );
    for (const waiting of expired) refuseExpired(waiting);
  }

  function dispatchQueue(): void {
    let candidates = findCandidates();
    const unplaced: WaitingRequest[] = [];
    while (candidates.length > 0) {
      const waiting = queue.takeNext(running.countTeam);
      if (!waiting) break;
      if (isExpired(waiting)) {
        refuseExpired(waiting);
        continue;
      }
      if (cannotFinishInTime(waiting)) {
        refuseUnreachable(waiting, running.getRunMs(waiting.request.service));
        continue;
      }
      const host = chooseHost(waiting, candidates);
      if (!host) {
        unplaced.push(waiting);
        continue;
      }
      running.start(waiting, host.id);
      runInBackground(
        () => send(waiting, host),
        error => {
          telemetry.errors.report('request', error);
          const failure = WorkerFailure.ConnectionLost;
          actor.tell({kind: RequestMessageKind.Failed, host, waiting, failure});
        },
      );
      candidates = findCandidates();
    }
    for (const waiting of unplaced) queue.add(waiting);
    if (queue.size > 0) sharing.requestSlots(pool);
  }

  function isExpired({deadlineAt, request}: WaitingRequest): boolean {
    return request.signal?.aborted === true || deadlineAt <= performance.now();
  }

  /**
   * Whether the mean run time exceeds the time left.
   *
   * Always false while no request runs, since the mean may be outdated then.
   */
  function cannotFinishInTime({deadlineAt, request}: WaitingRequest): boolean {
    const leftMs = findMaxRunTime(deadlineAt, performance.now());
    const runMs = running.getRunMs(request.service);
    return running.count > 0 && leftMs < runMs;
  }

  function findCandidates(): readonly WorkerCandidate[] {
    const candidates: WorkerCandidate[] = [];
    if (queue.size === 0) return candidates;
    for (const {hostId, slots} of sharing.getLoans(pool)) {
      const known = hostsById.get(hostId);
      if (known?.state !== HostState.Active) continue;
      const used = running.countHost(hostId);
      if (used >= slots || used >= records.limitSlots(hostId, slots)) continue;
      const relativeLatency = records.getRelativeLatency(hostId);
      candidates.push({host: known.host, slots, used, relativeLatency});
    }
    return candidates;
  }

  function chooseHost(
    {triedHosts, triedRacks}: WaitingRequest,
    candidates: readonly WorkerCandidate[],
  ): Host | undefined {
    const untried = candidates.filter(c => !triedHosts.includes(c.host.id));
    const isTried = (hostId: string) => triedHosts.includes(hostId);
    const triedAll = sharing.getLoans(pool).every(l => isTried(l.hostId));
    return sharing.chooseWorker({
      candidates: triedAll ? candidates : untried,
      availabilityZone: options.availabilityZone,
      triedRacks,
      random: Math.random,
    })?.host;
  }

  async function send(waiting: WaitingRequest, host: Host): Promise<void> {
    const {request} = waiting;
    const startedAt = performance.now();
    const timeoutMs = findAttemptTimeout(waiting, startedAt);
    const runMs = running.getRunMs(request.service);
    const result = await workers.send(host, {
      requestId: request.id,
      method: request.method,
      path: `/requests${request.path}`,
      headers: {
        ...request.headers,
        'sesamefront-deadline-ms': String(timeoutMs),
      },
      body: request.body,
      timeoutMs,
      silenceMs: findFirstByteTimeout(
        waiting,
        timeoutMs,
        runMs,
        options.silenceMs,
      ),
      freshConnection: waiting.freshConnection || !waiting.idempotent,
      signal: request.signal,
    });
    if (result.isErr) {
      const failure = result.error;
      actor.tell({kind: RequestMessageKind.Failed, host, waiting, failure});
      return;
    }
    const response = result.value;
    const answered = {host, waiting, startedAt};
    actor.tell({kind: RequestMessageKind.Answered, response, ...answered});
    const notifyEnded = (truncated: boolean) =>
      actor.tell({kind: RequestMessageKind.Ended, truncated, ...answered});
    if (response.whole) return notifyEnded(false);
    finished(response.body, error => notifyEnded(error !== undefined));
  }

  function answer(
    message: Extract<RequestMessage, {kind: RequestMessageKind.Answered}>,
  ): void {
    const {waiting, host, response, startedAt} = message;
    const {service} = waiting.request;
    if (response.status < MIN_SERVER_ERROR_STATUS) {
      records.recordSuccess(host.id, performance.now() - startedAt);
      retrier.recordSuccess(service);
    } else {
      recordFailure(host, undefined);
      if (retrier.tryTakeRerun(waiting)) {
        response.body.destroy();
        return retrier.retry(waiting, host, RetryReason.WorkerFailed, true);
      }
    }
    waiting.settle(Result.ok({...response, hostId: host.id}));
  }

  function endRun(
    message: Extract<RequestMessage, {kind: RequestMessageKind.Ended}>,
  ): void {
    const {waiting, host, startedAt, truncated} = message;
    running.end(waiting, host.id);
    if (truncated) return;
    running.recordRun(waiting.request.service, performance.now() - startedAt);
  }

  function fail(
    waiting: WaitingRequest,
    host: Host,
    failure: WorkerFailure,
  ): void {
    running.end(waiting, host.id);
    recordFailure(host, failure);
    const ran = getOutcome(failure) !== Outcome.NotRun;
    const reason = findRetryReason(failure, waiting.idempotent);
    if (reason && !isExpired(waiting) && retrier.tryTakeRetry(waiting, ran)) {
      return retrier.retry(waiting, host, reason, ran);
    }
    const late = waiting.deadlineAt <= performance.now();
    const mayHaveRun = waiting.mayHaveRun || ran;
    refuse(waiting, {
      reason: late
        ? RefusalReason.DeadlinePassed
        : RefusalReason.RetriesExhausted,
      outcome: mayHaveRun ? Outcome.Unknown : Outcome.NotRun,
      detail: `${host.id}: ${failure}`,
    });
  }

  function recordFailure(host: Host, failure: WorkerFailure | undefined): void {
    if (!records.recordFailure(host.id, failure, countEjectable())) return;
    telemetry.recordDecision({
      kind: DecisionKind.Eject,
      subject: host.id,
      pool,
      cause: `${host.id} has a higher failure ratio than the other workers of the pool`,
      inputs: {failure: failure ?? RetryReason.WorkerFailed},
    });
  }

  /**
   * Returns how many workers may be ejected within the pool's unavailability
   * budget.
   */
  function countEjectable(): number {
    const unavailable = hosts.filter(h => h.state !== HostState.Active).length;
    return options.getMaxUnavailable() - unavailable;
  }

  const reviewTimer = setInterval(() => {
    if (queue.size > 0) actor.tell({kind: RequestMessageKind.Review});
  }, REVIEW_INTERVAL_MS);

  return {
    run: (request, profile) =>
      new Promise(settle => {
        const deadlineMs = request.deadlineMs ?? profile.deadlineMs;
        actor.tell({
          kind: RequestMessageKind.Submit,
          waiting: {
            request,
            profile,
            settle,
            deadlineAt: performance.now() + deadlineMs,
            idempotent: request.idempotent ?? profile.idempotent,
            attempts: 0,
            triedHosts: [],
            triedRacks: [],
            mayHaveRun: false,
            freshConnection: false,
          },
        });
      }),
    getInFlight: () => running.count + queue.size,
    takeUsage() {
      const {peak, meanRunning} = meter.take();
      const runMs = running.getMeanRunMs();
      const need = findSlotNeed(meanRunning, queue.size, runMs);
      return {demand: peak, need, used: running.getCountsByHost()};
    },
    dispatchQueued: () => actor.tell({kind: RequestMessageKind.Review}),
    dispose() {
      clearInterval(reviewTimer);
      actor.dispose();
    },
  };
}
