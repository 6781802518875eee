/** Usage of a pool's slots by an entry host. */
export interface SlotUsage {
  /**
   * Peak number of requests waiting or running at once since the previous call.
   */
  readonly demand: number;
  /** Slots that sustain the mean load, not counting short peaks. */
  readonly need: number;
  /** Number of running requests by host id. */
  readonly used: ReadonlyMap<string, number>;
}
