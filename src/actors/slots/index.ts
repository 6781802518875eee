/** The leader's ledger of a pool's slots. */
export * from './pool_slots';
