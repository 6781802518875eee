import {HostConnection} from '../../ports/hosts';
import {TaskHost} from '../../types/workflow';
import {HostClock, createHostClock} from './host_clock';
import {RunEndTracker, createRunEndTracker} from './run_end_tracker';
import {RunName} from './unanswered_starts';

/**
 * What the leader knows of one incarnation of a host. It is replaced as a whole
 * when the host restarts, so that what still arrives for the earlier
 * incarnation has no effect on the new one.
 */
export interface HostIncarnation {
  /** Unix time in ms at which it started; 0 until it is known. */
  bornAt: number;
  /** Connections that have delivered its reports, and so lead to it only. */
  readonly connections: WeakSet<HostConnection>;
  /** Address at which it has reported, or was registered at first. */
  address: string;
  /** Monotonic time in ms of its first report in this term; 0 before. */
  reportedAt: number;
  /**
   * Whether it has reported in this term, and no later incarnation has been
   * announced since.
   */
  reached: boolean;
  /**
   * Whether an answer to an order has shown that the host has restarted since;
   * the next report is that of a later incarnation.
   */
  isOver: boolean;
  readonly clock: HostClock;
  readonly runEnds: RunEndTracker;
  /**
   * Runs, by key, that orders to an earlier incarnation may still start on this
   * one, and that it has not been told to reject.
   */
  readonly lateStarts: Map<string, RunName>;
}

/**
 * Creates the state of the incarnation with which a session starts.
 *
 * @param host the host as it is registered
 * @param maxLeaseMs maximum length in ms of a lease that hosts accept
 * @param earlierLeaseMs maximum remaining time in ms of leases granted by
 *     earlier leaders
 * @param lateStarts runs, by key, that earlier orders may still start
 */
export function createHostIncarnation(
  {bornAt, address}: TaskHost,
  maxLeaseMs: number,
  earlierLeaseMs: number,
  lateStarts: ReadonlyMap<string, RunName>,
): HostIncarnation {
  const clock = createHostClock(maxLeaseMs, earlierLeaseMs);
  return create(bornAt, address, clock, lateStarts);
}

/**
 * Creates the state of an incarnation that has replaced another one during the
 * session. Calls to the earlier one may reach it, with times of another clock,
 * which it cuts to the maximum length of a lease.
 *
 * @param bornAt Unix time in ms at which it started
 * @param address address at which it has reported
 * @param maxLeaseMs maximum length in ms of a lease that hosts accept
 * @param misdirectedLeaseMs maximum remaining time in ms of leases that such
 *     calls grant
 * @param lateStarts runs, by key, that earlier orders may still start
 */
export function createNextIncarnation(
  bornAt: number,
  address: string,
  maxLeaseMs: number,
  misdirectedLeaseMs: number,
  lateStarts: ReadonlyMap<string, RunName>,
): HostIncarnation {
  const clock = createHostClock(maxLeaseMs, 0, misdirectedLeaseMs);
  return create(bornAt, address, clock, lateStarts);
}

function create(
  bornAt: number,
  address: string,
  clock: HostClock,
  lateStarts: ReadonlyMap<string, RunName>,
): HostIncarnation {
  const runEnds = createRunEndTracker();
  return {
    bornAt,
    connections: new WeakSet(),
    address,
    reportedAt: 0,
    reached: false,
    isOver: false,
    clock,
    runEnds,
    lateStarts: new Map(lateStarts),
  };
}
