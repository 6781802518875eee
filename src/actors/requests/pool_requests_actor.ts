import {ActorSystemRef} from 'nact';
import {finished} from 'node:stream';
import {Result} from 'true-myth';
import {
  RetryBudget,
  WorkerCandidate,
  createRetryBudget,
  findAdmissionRefusal,
  findRetryReason,
  findSlotNeed,
  outcomeOf,
} from '../../decisions/requests';
import {Workers, WorkerFailure, WorkerResponse} from '../../ports';
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
import {createRequestQueue, teamWeight} from './request_queue';
import {createRunning} from './running';
import {SlotSharing} from './slot_sharing';
import {WaitingRequest} from './waiting_request';
import {createWorkerRecords} from './worker_records';

/** One entry host's queue and dispatch for one pool. */
export interface PoolRequestsActor {
  /** Runs a request of a service under its profile. */
  run(
    request: InteractiveRequest,
    profile: Profile,
  ): Promise<Result<Answer, Refusal>>;
  /** Requests that wait or run now. */
  getInFlight(): number;
  /** Returns the use of slots and starts the next period of measuring demand. */
  takeUsage(): SlotUsage;
  /** Dispatches what newly lent slots allow. */
  review(): void;
  dispose(): void;
}

/** Where the actor gets what it needs. */
export interface PoolRequestsOptions {
  readonly system: ActorSystemRef;
  readonly workers: Workers;
  readonly telemetry: Telemetry;
  readonly pool: string;
  readonly availabilityZone: string;
  /** Least wait for the first byte of an idempotent request's answer, in ms. */
  readonly silenceMs: number;
  readonly getHosts: () => readonly PoolHost[];
  /** Hosts that the pool's profile lets be unavailable at once. */
  readonly getMaxUnavailable: () => number;
  readonly sharing: SlotSharing;
}

enum MessageKind {
  Submit,
  Answered,
  Freed,
  Failed,
  Review,
}

type Message =
  | {readonly kind: MessageKind.Submit; readonly waiting: WaitingRequest}
  | {
      readonly kind: MessageKind.Answered;
      readonly waiting: WaitingRequest;
      readonly host: Host;
      readonly response: WorkerResponse;
      readonly startedAt: number;
    }
  | {
      readonly kind: MessageKind.Freed;
      readonly waiting: WaitingRequest;
      readonly host: Host;
      readonly startedAt: number;
      /** True if the answer's body was cut short. */
      readonly cut: boolean;
    }
  | {
      readonly kind: MessageKind.Failed;
      readonly host: Host;
      readonly waiting: WaitingRequest;
      readonly failure: WorkerFailure;
    }
  | {readonly kind: MessageKind.Review};

/** Attempts of which each may have been run. */
const MAX_ATTEMPTS = 3;
/** Attempts in all, with those that a worker refused. */
const MAX_REFUSED_ATTEMPTS = 20;
const REVIEW_MS = 50;
/** Time kept for an answer's way back to the caller. */
const ANSWER_MARGIN_MS = 5;
/** Mean runs after which an answer's first byte is overdue. */
const SILENT_RUNS = 4;
const FIRST_SERVER_ERROR = 500;

/** Creates the actor that queues and dispatches a pool's requests at one entry host. */
export function createPoolRequestsActor(
  options: PoolRequestsOptions,
): PoolRequestsActor {
  const {system, workers, telemetry, pool, sharing} = options;
  const queue = createRequestQueue();
  const running = createRunning();
  const records = createWorkerRecords();
  const meter = createDemandMeter();
  const budgets = new Map<string, RetryBudget>();
  let hosts: readonly PoolHost[] = [];
  let hostsById: ReadonlyMap<string, PoolHost> = new Map();

  const actor: Actor<Message> = createActor<undefined, Message>({
    system,
    name: `requests-${pool}`,
    initial: undefined,
    log: telemetry.log,
    handle: (_, message) => {
      followHosts();
      handle(message);
      dispatchQueue();
      meter.set(running.count, queue.size);
      return undefined;
    },
  });

  function handle(message: Message): void {
    switch (message.kind) {
      case MessageKind.Submit:
        return submit(message.waiting);
      case MessageKind.Answered:
        return answer(message);
      case MessageKind.Freed:
        return free(message);
      case MessageKind.Failed:
        return fail(message.waiting, message.host, message.failure);
      case MessageKind.Review:
        return dropOverdue();
    }
  }

  function followHosts(): void {
    const current = options.getHosts();
    if (current === hosts) return;
    hosts = current;
    hostsById = new Map(hosts.map(known => [known.host.id, known]));
    records.follow(hosts);
  }

  function submit(waiting: WaitingRequest): void {
    const {request, profile} = waiting;
    const {rank} = profile;
    const weight = teamWeight(waiting);
    const refusal = findAdmissionRefusal({
      timeLeftMs: waiting.deadlineAt - performance.now(),
      runMs: running.getRunMs(request.service),
      slots: Math.max(sharing.getShare(pool), running.count),
      running: running.count,
      waiting: queue.countRank(rank),
      queueLimit: profile.queueLimit,
      ahead: queue.countAhead(rank),
      teamAhead: queue.countTeam(rank, request.team),
      teamShare: queue.shareOf(rank, request.team, weight),
    });
    if (!refusal) return queue.add(waiting);
    refuse(waiting, {
      reason: refusal.reason,
      outcome: Outcome.NotRun,
      detail: `${queue.size} requests wait, about ${Math.round(refusal.waitMs)} ms`,
      retryAfterMs: Math.ceil(refusal.retryAfterMs),
    });
  }

  function dropOverdue(): void {
    const now = performance.now();
    const overdue = queue.takeAll(
      ({deadlineAt, request}) =>
        deadlineAt <= now || request.signal?.aborted === true,
    );
    for (const waiting of overdue) refuseOverdue(waiting);
  }

  function refuseOverdue(waiting: WaitingRequest): void {
    refuse(waiting, {
      reason: RefusalReason.DeadlinePassed,
      outcome: waiting.mayHaveRun ? Outcome.Unknown : Outcome.NotRun,
      detail: 'no slot came free before the deadline',
    });
  }

  function dispatchQueue(): void {
    let candidates = findCandidates();
    const unplaced: WaitingRequest[] = [];
    while (candidates.length > 0) {
      const waiting = queue.takeNext(running.countTeam);
      if (!waiting) break;
      if (isTooLate(waiting)) {
        refuseOverdue(waiting);
        continue;
      }
      if (isDoomed(waiting)) {
        refuseDoomed(waiting);
        continue;
      }
      const host = chooseHost(waiting, candidates);
      if (!host) {
        unplaced.push(waiting);
        continue;
      }
      running.start(waiting, host.id);
      void send(waiting, host);
      candidates = findCandidates();
    }
    for (const waiting of unplaced) queue.add(waiting);
    if (queue.size > 0) sharing.hurry(pool);
  }

  function isTooLate({deadlineAt, request}: WaitingRequest): boolean {
    return request.signal?.aborted === true || deadlineAt <= performance.now();
  }

  /** Tells whether a run would certainly end late; while nothing runs the estimate may be stale. */
  function isDoomed({deadlineAt, request}: WaitingRequest): boolean {
    const leftMs = deadlineAt - performance.now() - ANSWER_MARGIN_MS;
    const runMs = running.getRunMs(request.service);
    return running.count > 0 && leftMs < runMs;
  }

  function refuseDoomed(waiting: WaitingRequest): void {
    const runMs = running.getRunMs(waiting.request.service);
    refuse(waiting, {
      reason: RefusalReason.DeadlineUnreachable,
      outcome: waiting.mayHaveRun ? Outcome.Unknown : Outcome.NotRun,
      detail: 'the time left is shorter than a run',
      retryAfterMs: Math.ceil(runMs),
    });
  }

  function findCandidates(): readonly WorkerCandidate[] {
    const candidates: WorkerCandidate[] = [];
    if (queue.size === 0) return candidates;
    for (const {hostId, slots} of sharing.getLoans(pool)) {
      const known = hostsById.get(hostId);
      if (known?.state !== HostState.Active) continue;
      const used = running.countHost(hostId);
      if (used >= slots || used >= records.limit(hostId, slots)) continue;
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
    const timeoutMs = findTimeout(waiting, startedAt);
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
      silenceMs: findSilence(waiting, timeoutMs),
      freshConnection: waiting.freshConnection || !waiting.idempotent,
      signal: request.signal,
    });
    if (result.isErr) {
      const failure = result.error;
      actor.tell({kind: MessageKind.Failed, host, waiting, failure});
      return;
    }
    const response = result.value;
    const answered = {host, waiting, startedAt};
    actor.tell({kind: MessageKind.Answered, response, ...answered});
    const free = (cut: boolean) =>
      actor.tell({kind: MessageKind.Freed, cut, ...answered});
    if (response.whole) return free(false);
    finished(response.body, error => free(error !== undefined));
  }

  /** Returns the time for a whole answer that still reaches the caller in time. */
  function findTimeout({deadlineAt}: WaitingRequest, now: number): number {
    return Math.max(1, Math.floor(deadlineAt - now - ANSWER_MARGIN_MS));
  }

  /** Limits an attempt's silence only if a retry would have time to run. */
  function findSilence(
    {idempotent, attempts, request}: WaitingRequest,
    timeoutMs: number,
  ): number | undefined {
    if (!idempotent || attempts + 1 >= MAX_ATTEMPTS) return undefined;
    const runMs = running.getRunMs(request.service);
    const silenceMs = Math.max(options.silenceMs, SILENT_RUNS * runMs);
    return silenceMs + runMs < timeoutMs ? silenceMs : undefined;
  }

  function answer(
    message: Extract<Message, {kind: MessageKind.Answered}>,
  ): void {
    const {waiting, host, response, startedAt} = message;
    const {service} = waiting.request;
    if (response.status < FIRST_SERVER_ERROR) {
      records.noteSuccess(host.id, performance.now() - startedAt);
      getBudget(service).succeed();
    } else {
      noteFailure(host, undefined);
      if (mayRetry(waiting) && getBudget(service).take()) {
        response.body.destroy();
        return retry(waiting, host, RetryReason.WorkerFailed, true);
      }
    }
    waiting.settle(Result.ok({...response, hostId: host.id}));
  }

  function free(message: Extract<Message, {kind: MessageKind.Freed}>): void {
    const {waiting, host, startedAt, cut} = message;
    running.end(waiting, host.id);
    if (cut) return;
    running.noteRun(waiting.request.service, performance.now() - startedAt);
  }

  function fail(
    waiting: WaitingRequest,
    host: Host,
    failure: WorkerFailure,
  ): void {
    running.end(waiting, host.id);
    noteFailure(host, failure);
    const ran = outcomeOf(failure) !== Outcome.NotRun;
    const reason = findRetryReason(failure, waiting.idempotent);
    if (reason && isWorthRetrying(waiting, ran)) {
      return retry(waiting, host, reason, ran);
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

  function isWorthRetrying(waiting: WaitingRequest, ran: boolean): boolean {
    if (isTooLate(waiting)) return false;
    if (!ran) return waiting.attempts + 1 < MAX_REFUSED_ATTEMPTS;
    return mayRetry(waiting) && getBudget(waiting.request.service).take();
  }

  function mayRetry({idempotent, attempts}: WaitingRequest): boolean {
    return idempotent && attempts + 1 < MAX_ATTEMPTS;
  }

  function retry(
    waiting: WaitingRequest,
    host: Host,
    reason: RetryReason,
    ran: boolean,
  ): void {
    const {request} = waiting;
    telemetry.retried(request.service, reason);
    telemetry.decide({
      kind: DecisionKind.Retry,
      subject: request.id,
      pool,
      cause: `${host.id}: ${reason}`,
      inputs: {attempts: waiting.attempts + 1, mayHaveRun: ran},
    });
    const busy = reason === RetryReason.WorkerBusy;
    queue.add({
      ...waiting,
      attempts: waiting.attempts + 1,
      mayHaveRun: waiting.mayHaveRun || ran,
      freshConnection: waiting.freshConnection || ran,
      triedHosts: busy ? waiting.triedHosts : [...waiting.triedHosts, host.id],
      triedRacks: busy
        ? waiting.triedRacks
        : [...waiting.triedRacks, host.rack],
    });
  }

  function noteFailure(host: Host, failure: WorkerFailure | undefined): void {
    if (!records.noteFailure(host.id, failure, countEjectable())) return;
    telemetry.decide({
      kind: DecisionKind.Eject,
      subject: host.id,
      pool,
      cause: `${host.id} fails more than the pool's others`,
      inputs: {failure: failure ?? RetryReason.WorkerFailed},
    });
  }

  /** Returns the workers that the pool's budget lets this entry host pass over. */
  function countEjectable(): number {
    const unavailable = hosts.filter(h => h.state !== HostState.Active).length;
    return options.getMaxUnavailable() - unavailable;
  }

  function getBudget(service: string): RetryBudget {
    const known = budgets.get(service);
    if (known) return known;
    const created = createRetryBudget();
    budgets.set(service, created);
    return created;
  }

  function refuse(waiting: WaitingRequest, refusal: Refusal): void {
    const {request} = waiting;
    telemetry.refused(request.service, refusal.reason);
    telemetry.decide({
      kind: DecisionKind.Refuse,
      subject: request.id,
      pool,
      cause: `${refusal.reason}: ${refusal.detail}`,
      inputs: {
        reason: refusal.reason,
        outcome: refusal.outcome,
        attempts: waiting.attempts,
      },
    });
    waiting.settle(Result.err(refusal));
  }

  const timer = setInterval(
    () => actor.tell({kind: MessageKind.Review}),
    REVIEW_MS,
  );

  return {
    run: (request, profile) =>
      new Promise(settle => {
        const timeMs = request.deadlineMs ?? profile.deadlineMs;
        actor.tell({
          kind: MessageKind.Submit,
          waiting: {
            request,
            profile,
            settle,
            deadlineAt: performance.now() + timeMs,
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
      return {demand: peak, need, used: running.getHosts()};
    },
    review: () => actor.tell({kind: MessageKind.Review}),
    dispose() {
      clearInterval(timer);
      actor.dispose();
    },
  };
}
