import {RequestViolationKind} from './request_violation_kind';

/** A violation and the request or idempotency key that it concerns. */
export interface RequestViolation {
  readonly kind: RequestViolationKind;
  /** Id of the request, or its idempotency key. */
  readonly subject: string;
  readonly detail: string;
}
