/** Address of a host incarnation. */
export interface HostAddress {
  /**
   * Id of the incarnation; any other incarnation at the address refuses the
   * call.
   */
  readonly id: string;
  readonly address: string;
}
