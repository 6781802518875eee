/** Checks of recorded histories of task runs and machine orders. */
export * from './check_runs';
export * from './run_violation';
