/** Decisions about pools, budgets, host states, maintenance waves and moves. */
export * from './budget';
export * from './choose_move';
export * from './explain_host';
export * from './host_review';
export * from './merge_host_list';
export * from './next_drains';
export * from './observation';
export * from './plan_wave';
export * from './review_ledger';
export * from './rotation';
export * from './select_hosts';
export * from './wave_state';
