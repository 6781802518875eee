import {createMethod} from './method';
import {sesamefront} from './generated/slots';

const messages = sesamefront.slots;

/** Slots of one worker as reported by a borrower. */
export interface HostSlots {
  readonly hostId: string;
  /** Number of slots to which the borrower limits itself from now on. */
  readonly held: number;
  /** Number of slots in use. */
  readonly used: number;
}

/** Demand of a borrower for the slots of one pool. */
export interface PoolDemand {
  readonly pool: string;
  /**
   * Maximum number of requests that waited or ran at once since the last
   * report.
   */
  readonly demand: number;
  /** Number of slots that sustain the average demand, without peaks. */
  readonly need: number;
  readonly hosts: readonly HostSlots[];
}

/** Report of a borrower to a leader about all pools that the leader leads. */
export interface DemandReport {
  readonly memberId: string;
  /**
   * Id of the borrower's process; distinguishes processes with the same member
   * id.
   */
  readonly session: string;
  /** Sequence number of the report, increasing within a session. */
  readonly sequence: number;
  readonly pools: readonly PoolDemand[];
}

/** Slots of one worker lent to a borrower. */
export interface HostLoan {
  readonly hostId: string;
  /** Number of slots lent. */
  readonly slots: number;
}

/** Slots of one pool lent to a borrower. */
export interface PoolLoan {
  readonly pool: string;
  /** Leadership term under which the slots are lent. */
  readonly term: number;
  /**
   * Duration of the loan in ms, measured by the borrower from the time before
   * its call.
   */
  readonly lengthMs: number;
  /** Whether the demand of the borrower exceeds the loan. */
  readonly contended: boolean;
  readonly hosts: readonly HostLoan[];
}

/** Reply of a leader; pools that it doesn't lead are omitted. */
export interface LoanReply {
  readonly pools: readonly PoolLoan[];
}

/** Method that borrows slots of pools from their leader. */
export const borrowMethod = createMethod<DemandReport, LoanReply>(
  '/sesamefront.slots.Slots/Borrow',
  {
    encode: value =>
      messages.DemandReport.encode(value as sesamefront.slots.IDemandReport),
    decode: bytes =>
      messages.DemandReport.decode(bytes) as unknown as DemandReport,
  },
  {
    encode: value =>
      messages.LoanReply.encode(value as sesamefront.slots.ILoanReply),
    decode: bytes => messages.LoanReply.decode(bytes) as unknown as LoanReply,
  },
);
