import {createHash} from 'node:crypto';

/** A request with an idempotency key, as far as claims look at it. */
export interface KeyedRequest {
  readonly service: string;
  readonly team: string;
  readonly idempotencyKey: string;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
}

/** Where a keyed request's claim is kept, and what tells it from others. */
export interface ClaimIdentity {
  readonly partition: number;
  readonly key: string;
  readonly fingerprint: string;
}

/** Partitions that the keys are spread over; fixed, as owners must agree on it. */
export const PARTITIONS = 8;

const KEY_BYTES = 16;
const FINGERPRINT_BYTES = 9;

/**
 * Derives a keyed request's claim; only digests leave this member.
 *
 * @param request the request
 */
export function identifyRequest(request: KeyedRequest): ClaimIdentity {
  const {service, team, idempotencyKey, method, path, body} = request;
  const key = createHash('sha256')
    .update(JSON.stringify([service, team, idempotencyKey]))
    .digest()
    .subarray(0, KEY_BYTES);
  const fingerprint = createHash('sha256')
    .update(JSON.stringify([method, path]))
    .update(body)
    .digest()
    .subarray(0, FINGERPRINT_BYTES);
  return {
    partition: key[0] % PARTITIONS,
    key: key.toString('base64url'),
    fingerprint: fingerprint.toString('base64url'),
  };
}
