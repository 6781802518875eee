/** Checks of the history of loans and of the slots that were used. */
export * from './check_loans';
export * from './count_possible';
export * from './slot_sample';
