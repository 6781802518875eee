/** Slots of one worker that one entry host may use at one moment. */
export interface SlotSample {
  /** Time of the sample in ms. */
  readonly at: number;
  readonly memberId: string;
  readonly hostId: string;
  readonly slots: number;
  /** True for a loan; false for the static split that stands in for one. */
  readonly lent: boolean;
}
