/** What a maintenance wave's selector names. */
export enum SelectorKind {
  All = 'all',
  Pool = 'pool',
  Rack = 'rack',
  AvailabilityZone = 'zone',
  Host = 'host',
}
