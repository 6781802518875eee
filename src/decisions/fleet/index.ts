/** Decisions about pools, budgets and maintenance waves. */
export * from './budget';
export * from './next_drains';
export * from './select_hosts';
