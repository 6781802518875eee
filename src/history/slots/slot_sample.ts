/** Slots of a worker that an entry host may use at the time of the sample. */
export interface SlotSample {
  /** Time of the sample in ms. */
  readonly at: number;
  readonly memberId: string;
  readonly hostId: string;
  readonly slots: number;
  /**
   * Whether the slots are lent; false if they come from the static split used
   * without a loan.
   */
  readonly lent: boolean;
}
