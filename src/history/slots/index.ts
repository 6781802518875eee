/** Checks of recorded slot loans and of slot utilisation. */
export * from './check_loans';
export * from './count_possible';
export * from './slot_sample';
