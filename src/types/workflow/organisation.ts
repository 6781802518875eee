import {Capacity} from './capacity';

/** An organisation whose callers submit workflows, as configured by the operator. */
export interface Organisation {
  readonly name: string;
  /** Digests of its API keys, in the form that `digestKey` returns. */
  readonly keyDigests: readonly string[];
  /** Rank among organisations; 0 is the highest. */
  readonly priority: number;
  /**
   * Its share when demand exceeds capacity, and the number of submissions a
   * second that it is owed.
   */
  readonly weight: number;
  /** What it may have running in all pools; 0 for no limit. */
  readonly cap: Capacity;
}
