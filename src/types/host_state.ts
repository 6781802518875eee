/** State of a host according to its pool's leader. */
export enum HostState {
  Active = 'active',
  Draining = 'draining',
  Rebooting = 'rebooting',
  Failed = 'failed',
  Quarantined = 'quarantined',
  Missing = 'missing',
  Moving = 'moving',
  Leaving = 'leaving',
}
