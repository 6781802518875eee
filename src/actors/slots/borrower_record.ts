/** A leader's record of one borrower; times are monotonic, in ms. */
export interface BorrowerRecord {
  readonly memberId: string;
  /** Number of the last report that was answered. */
  readonly sequence: number;
  /** Peak number of concurrent requests that the borrower reported. */
  readonly demand: number;
  /** Slots that sustain the mean load, not counting short peaks. */
  readonly need: number;
  /** Maximum number of slots that the borrower may use, by host id. */
  readonly held: ReadonlyMap<string, number>;
  /** Slots that the borrower reported in use, by host id. */
  readonly used: ReadonlyMap<string, number>;
  /** Time by which the loan has expired even with clock drift. */
  readonly endsAt: number;
}
