import {DecisionKind} from './decision_kind';

/** A decision with its cause, as logged and returned by the explain API. */
export interface Decision {
  /** Wall-clock time in ms since the epoch. */
  readonly at: number;
  readonly memberId: string;
  readonly kind: DecisionKind;
  /**
   * Id of the request, job, host, wave, pool or revision that the decision
   * concerns.
   */
  readonly subject: string;
  readonly pool: string;
  readonly cause: string;
  /** Inputs on which the decision was based. */
  readonly inputs: Readonly<Record<string, string | number | boolean>>;
}
