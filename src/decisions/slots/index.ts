/** Decisions about lending a pool's slots to entry hosts. */
export * from './adjust_loan';
export * from './limit_growth';
export * from './share_by_need';
export * from './share_fairly';
