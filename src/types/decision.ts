import {DecisionKind} from './decision_kind';

/** One decision with its cause, as logged and explained. */
export interface Decision {
  /** Wall-clock time in ms since the epoch. */
  readonly at: number;
  readonly memberId: string;
  readonly kind: DecisionKind;
  /** Id of the request, job, host, wave, pool or revision that it is about. */
  readonly subject: string;
  readonly pool: string;
  readonly cause: string;
  /** Inputs that the decision rested on. */
  readonly inputs: Readonly<Record<string, string | number | boolean>>;
}
