/** Checks of recorded slot loans and of slot utilisation. */
export * from './find_overallocated_slots';
export * from './count_possible_runs';
export * from './slot_sample';
