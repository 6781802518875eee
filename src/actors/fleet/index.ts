/** Hosts, pools, budget ledgers and maintenance waves. */
export * from './fleet_view';
export * from './pool_fleet_actor';
export * from './waves';
