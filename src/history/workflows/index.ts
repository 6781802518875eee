/** Checks of recorded histories of task runs and machine orders. */
export * from './check_availability';
export * from './check_runs';
export * from './is_end_stored';
export * from './run_violation';
