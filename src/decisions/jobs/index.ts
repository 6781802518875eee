/** Decisions about long jobs. */
export * from './after_attempt';
export * from './check_satisfiable';
export * from './choose_victims';
export * from './estimates';
export * from './find_suspects';
export * from './has_lease_expired';
export * from './order_jobs';
export * from './placement_gate';
export * from './plan_placements';
export * from './transitions';
