import {HostConnection} from './host_connection';

/**
 * Request to extend the lease of all runs on a host and to acknowledge ended
 * runs.
 */
export interface HoldRequest {
  /** Fencing token of the leader. */
  readonly fence: number;
  /** Ends up to this number have been stored, and the host may discard them. */
  readonly seenEnd: number;
  /**
   * Connections that lead to the incarnation of these ends. Over another one the
   * call acknowledges none, as another incarnation may receive it.
   */
  readonly seenOn: WeakSet<HostConnection>;
  /**
   * Time on the host's clock in ms at which the lease expires; undefined leaves
   * it unchanged.
   */
  readonly untilMs: number | undefined;
  /**
   * Maximum time that the host may delay its answer until a run ends, in ms.
   */
  readonly waitMs: number;
}
