/**
 * Hosts, pools, unavailability budgets, maintenance waves and moves between
 * pools.
 */
export * from './fleet_view';
export * from './host_calls';
export * from './upcoming_drains';
export * from './pool_fleet_actor';
export * from './pool_index';
export * from './pool_review';
export * from './waves';
