/** Slots of workers: the leaders' ledgers and the entry hosts' loans. */
export * from './loan_terms';
export * from './pool_slots';
export * from './slot_borrower';
export * from './slot_lenders';
export * from './slot_usage';
