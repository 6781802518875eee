import {ActorSystemRef, Ref, dispatch} from 'nact';
import {finished} from 'node:stream';
import {Result} from 'true-myth';
import {findRetryReason, outcomeOf} from '../../decisions/requests';
import {Workers, WorkerFailure, WorkerResponse} from '../../ports';
import {Telemetry} from '../../telemetry';
import {
  DecisionKind,
  Host,
  HostState,
  Loan,
  Outcome,
  PoolHost,
  Profile,
  RefusalReason,
} from '../../types';
import {Actor, createActor} from '../shared';
import {Answer} from './answer';
import {InteractiveRequest} from './interactive_request';
import {Refusal} from './refusal';

/** One entry host's queue and dispatch for one pool. */
export interface PoolRequestsActor {
  run(request: InteractiveRequest): Promise<Result<Answer, Refusal>>;
  /** Requests that wait or run now. */
  getInFlight(): number;
  dispose(): void;
}

/** Where the actor gets what it needs. */
export interface PoolRequestsOptions {
  readonly system: ActorSystemRef;
  readonly workers: Workers;
  readonly telemetry: Telemetry;
  readonly pool: string;
  readonly getProfile: () => Profile | undefined;
  readonly getHosts: () => readonly PoolHost[];
  /** Slots that this entry host may use now. */
  readonly getLoans: () => readonly Loan[];
}

type Reply = Ref<Result<Answer, Refusal>>;

interface Waiting {
  readonly request: InteractiveRequest;
  readonly reply: Reply;
  /** Monotonic time by which the answer is due, in ms. */
  readonly deadlineAt: number;
  readonly idempotent: boolean;
  readonly attempts: number;
  readonly triedHosts: readonly string[];
}

enum MessageKind {
  Submit,
  Freed,
  Failed,
  Review,
}

type Message =
  | {
      readonly kind: MessageKind.Submit;
      readonly request: InteractiveRequest;
      readonly reply: Reply;
    }
  | {readonly kind: MessageKind.Freed; readonly hostId: string}
  | {
      readonly kind: MessageKind.Failed;
      readonly hostId: string;
      readonly waiting: Waiting;
      readonly failure: WorkerFailure;
    }
  | {readonly kind: MessageKind.Review};

const MAX_ATTEMPTS = 3;
const REVIEW_MS = 50;

/** Creates the actor that queues and dispatches a pool's requests at one entry host. */
export function createPoolRequestsActor(
  options: PoolRequestsOptions,
): PoolRequestsActor {
  const {system, workers, telemetry, pool} = options;
  const queue: Waiting[] = [];
  const used = new Map<string, number>();
  let inFlight = 0;

  const actor: Actor<Message> = createActor<undefined, Message>({
    system,
    name: `requests-${pool}`,
    initial: undefined,
    log: telemetry.log,
    handle: (_, message) => {
      handle(message);
      return undefined;
    },
  });

  function handle(message: Message): void {
    switch (message.kind) {
      case MessageKind.Submit:
        submit(message.request, message.reply);
        break;
      case MessageKind.Freed:
        free(message.hostId);
        break;
      case MessageKind.Failed:
        free(message.hostId);
        fail(message.waiting, message.hostId, message.failure);
        break;
      case MessageKind.Review:
        break;
    }
    dropOverdue();
    dispatchQueue();
  }

  function submit(request: InteractiveRequest, reply: Reply): void {
    const profile = options.getProfile();
    if (!profile) {
      return refuse(request, reply, {
        reason: RefusalReason.NoConfiguration,
        outcome: Outcome.NotRun,
        detail: `pool ${pool} has no profile in force`,
      });
    }
    if (queue.length >= profile.queueLimit) {
      return refuse(request, reply, {
        reason: RefusalReason.QueueFull,
        outcome: Outcome.NotRun,
        detail: `${queue.length} requests wait already`,
        retryAfterMs: profile.deadlineMs,
      });
    }
    const timeMs = request.deadlineMs ?? profile.deadlineMs;
    queue.push({
      request,
      reply,
      deadlineAt: performance.now() + timeMs,
      idempotent: request.idempotent ?? profile.idempotent,
      attempts: 0,
      triedHosts: [],
    });
  }

  function dropOverdue(): void {
    const now = performance.now();
    for (let i = queue.length - 1; i >= 0; i -= 1) {
      if (queue[i].deadlineAt > now) continue;
      const [waiting] = queue.splice(i, 1);
      refuse(waiting.request, waiting.reply, {
        reason: RefusalReason.DeadlinePassed,
        outcome: Outcome.NotRun,
        detail: 'no slot came free before the deadline',
      });
    }
  }

  function dispatchQueue(): void {
    while (queue.length > 0) {
      const host = chooseHost(queue[0].triedHosts);
      if (!host) return;
      const waiting = queue.shift() as Waiting;
      used.set(host.id, (used.get(host.id) ?? 0) + 1);
      inFlight += 1;
      void send(waiting, host);
    }
  }

  function chooseHost(tried: readonly string[]): Host | undefined {
    const hosts = new Map(options.getHosts().map(h => [h.host.id, h]));
    let best: Host | undefined;
    let bestFree = 0;
    for (const loan of options.getLoans()) {
      const known = hosts.get(loan.hostId);
      if (known?.state !== HostState.Active) continue;
      const free = loan.slots - (used.get(loan.hostId) ?? 0);
      const untried = tried.includes(loan.hostId) ? 0 : free;
      if (untried <= bestFree) continue;
      best = known.host;
      bestFree = untried;
    }
    return best;
  }

  async function send(waiting: Waiting, host: Host): Promise<void> {
    const {request} = waiting;
    const result = await workers.send(host, {
      requestId: request.id,
      method: request.method,
      path: `/requests${request.path}`,
      headers: request.headers,
      body: request.body,
      timeoutMs: Math.max(1, waiting.deadlineAt - performance.now()),
      signal: request.signal,
    });
    if (result.isErr) {
      const failure = result.error;
      const hostId = host.id;
      actor.tell({kind: MessageKind.Failed, hostId, waiting, failure});
      return;
    }
    answer(waiting, host, result.value);
  }

  function answer(
    waiting: Waiting,
    host: Host,
    response: WorkerResponse,
  ): void {
    finished(response.body, () =>
      actor.tell({kind: MessageKind.Freed, hostId: host.id}),
    );
    dispatch(
      waiting.reply,
      Result.ok<Answer, Refusal>({...response, hostId: host.id}),
    );
  }

  function free(hostId: string): void {
    used.set(hostId, Math.max(0, (used.get(hostId) ?? 0) - 1));
    inFlight -= 1;
  }

  function fail(
    waiting: Waiting,
    hostId: string,
    failure: WorkerFailure,
  ): void {
    const {request, reply} = waiting;
    const reason = findRetryReason(failure, waiting.idempotent);
    const attempts = waiting.attempts + 1;
    if (reason && attempts < MAX_ATTEMPTS) {
      telemetry.retried(request.service, reason);
      queue.unshift({
        ...waiting,
        attempts,
        triedHosts: [...waiting.triedHosts, hostId],
      });
      return;
    }
    refuse(request, reply, {
      reason: RefusalReason.RetriesExhausted,
      outcome: outcomeOf(failure),
      detail: `${hostId}: ${failure}`,
    });
  }

  function refuse(
    request: InteractiveRequest,
    reply: Reply,
    refusal: Refusal,
  ): void {
    telemetry.refused(request.service, refusal.reason);
    telemetry.log.debug('request refused', {
      decision: DecisionKind.Refuse,
      subject: request.id,
      pool,
      reason: refusal.reason,
      outcome: refusal.outcome,
    });
    dispatch(reply, Result.err<Answer, Refusal>(refusal));
  }

  const timer = setInterval(
    () => actor.tell({kind: MessageKind.Review}),
    REVIEW_MS,
  );

  return {
    run: request =>
      actor.ask(reply => ({kind: MessageKind.Submit, request, reply})),
    getInFlight: () => inFlight + queue.length,
    dispose() {
      clearInterval(timer);
      actor.dispose();
    },
  };
}
