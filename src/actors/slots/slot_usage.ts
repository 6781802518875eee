/** What an entry host does with a pool's slots. */
export interface SlotUsage {
  /** Most requests that waited or ran at once since the last call. */
  readonly demand: number;
  /** Slots that keep up with the demand without its peaks. */
  readonly need: number;
  /** Requests that run now, by host id. */
  readonly used: ReadonlyMap<string, number>;
}
