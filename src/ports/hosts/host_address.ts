/** Address of a host instance. */
export interface HostAddress {
  /** Id of the instance; any other instance at the address refuses the call. */
  readonly id: string;
  readonly address: string;
}
