/** What a leader knows of one borrower; times are monotonic, in ms. */
export interface BorrowerRecord {
  readonly memberId: string;
  readonly sequence: number;
  readonly demand: number;
  /** Slots that keep up with the demand without its peaks. */
  readonly need: number;
  /** Most slots that the borrower may use, by host id. */
  readonly held: ReadonlyMap<string, number>;
  readonly used: ReadonlyMap<string, number>;
  /** Time by which the loan has certainly ended. */
  readonly endsAt: number;
}
