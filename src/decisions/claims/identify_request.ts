import {createHash} from 'node:crypto';

/** Properties of a request with an idempotency key that determine its claim. */
export interface KeyedRequest {
  readonly service: string;
  readonly team: string;
  readonly idempotencyKey: string;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
}

/** Partition, key and fingerprint of a request's claim. */
export interface ClaimIdentity {
  readonly partition: number;
  readonly key: string;
  readonly fingerprint: string;
}

/**
 * Number of partitions of the keys; fixed, since all members must agree on it.
 */
export const PARTITION_COUNT = 8;

const KEY_BYTES = 16;
const FINGERPRINT_BYTES = 9;

/**
 * Derives the claim identity of a request, which contains only digests of its
 * contents so that no plain text is sent to other members.
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
    partition: key[0] % PARTITION_COUNT,
    key: key.toString('base64url'),
    fingerprint: fingerprint.toString('base64url'),
  };
}
