/**
 * Stands for one open connection to a host, which leads to one incarnation of it
 * and ends with that.
 */
export type HostConnection = object;
