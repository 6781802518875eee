import {Readable} from 'node:stream';
import {Result} from 'true-myth';
import {
  ClaimIdentity,
  ClaimReply,
  ClaimVerdict,
  RecordedAnswer,
  identifyRequest,
} from '../../decisions/claims';
import {ObservableValue} from '../../state';
import {Telemetry} from '../../telemetry';
import {Configuration, Outcome, Profile, RefusalReason} from '../../types';
import {Answer, InteractiveRequest, Refusal, Requests} from '../requests';
import {Claims} from './claims';
import {recordAnswer} from './record_answer';
import {refuseClaim} from './refuse_claim';

/** Options for {@link createClaimedRequests}. */
export interface ClaimedRequestsOptions {
  readonly requests: Requests;
  readonly claims: Claims;
  readonly telemetry: Telemetry;
  readonly configuration: ObservableValue<Configuration | undefined>;
}

/** Maximum time to wait for a claim, in ms. */
const MAX_CLAIM_WAIT_MS = 2_500;

const DEADLINE_PASSED: Refusal = {
  reason: RefusalReason.DeadlinePassed,
  outcome: Outcome.NotRun,
  detail: 'the deadline passed before the request was sent',
};

const BODY_TOO_LARGE: Refusal = {
  reason: RefusalReason.BodyTooLarge,
  outcome: Outcome.NotRun,
  detail: 'a request with an idempotency key must have a body kept in memory',
};

/**
 * Decorates requests with claims: a non-idempotent request with an idempotency
 * key runs only once a claim of its key is durable.
 *
 * @param options the decorated requests and the claims
 */
export function createClaimedRequests(
  options: ClaimedRequestsOptions,
): Requests {
  const {requests, claims, telemetry, configuration} = options;

  function findProfile(service: string): Profile | undefined {
    const profiles = configuration.get()?.profiles ?? [];
    return profiles.find(profile => profile.services.includes(service));
  }

  async function runClaimed(
    request: InteractiveRequest,
    idempotencyKey: string,
    deadlineMs: number,
  ): Promise<Result<Answer, Refusal>> {
    const deadlineAt = performance.now() + deadlineMs;
    const {body} = request;
    if (!Buffer.isBuffer(body)) return refuse(request, BODY_TOO_LARGE);
    const identity = identifyRequest({...request, idempotencyKey, body});
    const claimTimeoutMs = Math.min(MAX_CLAIM_WAIT_MS, deadlineMs);
    const claim = await claims.claim(identity, request.id, claimTimeoutMs);
    if (claim.verdict !== ClaimVerdict.Granted) {
      return answerRepeat(request, identity, claim);
    }
    const leftMs = deadlineAt - performance.now();
    if (leftMs <= 0 || request.signal?.aborted) {
      void finish(request, identity, Outcome.NotRun);
      return refuse(request, DEADLINE_PASSED);
    }
    const claimed = {...request, deadlineMs: leftMs};
    const result = await requests.run(claimed);
    if (result.isErr) {
      const recorded = finish(request, identity, result.error.outcome);
      if (result.error.outcome === Outcome.NotRun) await recorded;
      return result;
    }
    return Result.ok(
      recordAnswer(result.value, recorded =>
        finish(request, identity, Outcome.Run, recorded),
      ),
    );
  }

  function finish(
    {id}: InteractiveRequest,
    {partition, key}: ClaimIdentity,
    outcome: Outcome,
    answer?: RecordedAnswer,
  ): Promise<void> {
    return claims.finish({partition, key, requestId: id, outcome, answer});
  }

  function answerRepeat(
    request: InteractiveRequest,
    identity: ClaimIdentity,
    {verdict, answer}: ClaimReply,
  ): Result<Answer, Refusal> {
    if (verdict === ClaimVerdict.Finished && answer) {
      return Result.ok(replay(answer));
    }
    if (verdict === ClaimVerdict.Unavailable) {
      void finish(request, identity, Outcome.NotRun);
    }
    return refuse(request, refuseClaim(verdict));
  }

  function refuse(
    {service}: InteractiveRequest,
    refusal: Refusal,
  ): Result<Answer, Refusal> {
    telemetry.countRefusal(service, refusal.reason);
    return Result.err(refusal);
  }

  return {
    ...requests,
    async run(request) {
      const {idempotencyKey, service} = request;
      const profile = findProfile(service);
      if (!profile || idempotencyKey === undefined) {
        return requests.run(request);
      }
      if (request.idempotent ?? profile.idempotent) {
        return requests.run(request);
      }
      const deadlineMs = request.deadlineMs ?? profile.deadlineMs;
      return runClaimed(request, idempotencyKey, deadlineMs);
    },
    async drain() {
      await requests.drain();
      await claims.drain();
    },
    dispose() {
      claims.dispose();
      requests.dispose();
    },
  };
}

function replay({status, headers, body, hostId}: RecordedAnswer): Answer {
  return {
    status,
    headers: JSON.parse(headers) as Answer['headers'],
    body: Readable.from([Buffer.from(body, 'base64')]),
    hostId,
    replayed: true,
  };
}
