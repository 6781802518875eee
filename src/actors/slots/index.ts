/** Worker slots: allocation by the pool leaders and loans to entry hosts. */
export * from './loan_terms';
export * from './pool_slots';
export * from './slot_borrower';
export * from './slot_lenders';
export * from './slot_usage';
