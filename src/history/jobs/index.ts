/** Checks of recorded histories of long-running jobs. */
export * from './check_job_history';
export * from './job_history';
export * from './job_violation';
