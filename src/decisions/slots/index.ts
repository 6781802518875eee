/** Decisions about lending a pool's slots to entry hosts. */
export * from './adjust_loan';
export * from './share_fairly';
