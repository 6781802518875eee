/** How the incarnation of a host has ended. */
export enum HostEnd {
  Crashed = 'crashed',
  /** By an order to move its machine or to maintain it. */
  Ordered = 'ordered',
}
