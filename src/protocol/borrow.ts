import {createMethod} from './method';
import {sesamefront} from './generated/slots';

const messages = sesamefront.slots;

/** Slots of one worker that the borrower limits itself to from now on, and those in use. */
export interface HostSlots {
  readonly hostId: string;
  readonly held: number;
  readonly used: number;
}

/** A borrower's demand for one pool. */
export interface PoolDemand {
  readonly pool: string;
  /** Most requests that waited or ran at once since the last report. */
  readonly demand: number;
  /** Slots that keep up with the demand without its peaks. */
  readonly need: number;
  readonly hosts: readonly HostSlots[];
}

/** A borrower's report to one leader about all pools that it leads. */
export interface DemandReport {
  readonly memberId: string;
  /** Distinguishes two processes with the same member id. */
  readonly session: string;
  /** Grows with every report of a session. */
  readonly sequence: number;
  readonly pools: readonly PoolDemand[];
}

/** Slots of one worker that are lent. */
export interface HostLoan {
  readonly hostId: string;
  readonly slots: number;
}

/** What a leader lends of one pool. */
export interface PoolLoan {
  readonly pool: string;
  readonly term: number;
  /** Length of the loan in ms, counted by the borrower from before it asked. */
  readonly lengthMs: number;
  /** True if the borrower wants more than it gets. */
  readonly contended: boolean;
  readonly hosts: readonly HostLoan[];
}

/** A leader's answer; pools that it doesn't lead are left out. */
export interface LoanReply {
  readonly pools: readonly PoolLoan[];
}

/** Method by which an entry host borrows slots from the leaders of its pools. */
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
