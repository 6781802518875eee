/** State of a host as its pool's leader sees it. */
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
