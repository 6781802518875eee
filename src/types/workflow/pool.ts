/** A pool of machines, as configured by the operator. */
export interface Pool {
  readonly name: string;
  /**
   * Whether this is the spare pool, whose machines are powered off and cost
   * nothing until they move to another pool.
   */
  readonly spare: boolean;
  /**
   * Whether the pool's hosts refuse to start a run that exceeds their capacity.
   */
  readonly guardsCapacity: boolean;
}
