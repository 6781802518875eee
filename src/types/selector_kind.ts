/** Kinds of objects by which a maintenance wave selects hosts. */
export enum SelectorKind {
  All = 'all',
  Pool = 'pool',
  Rack = 'rack',
  AvailabilityZone = 'zone',
  Host = 'host',
}
