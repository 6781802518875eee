import {RequestViolationKind} from './request_violation_kind';

/** One broken promise with the request or key that shows it. */
export interface RequestViolation {
  readonly kind: RequestViolationKind;
  /** Id of the request, or its idempotency key. */
  readonly subject: string;
  readonly detail: string;
}
