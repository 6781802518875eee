/** Checks histories of long jobs. */
export * from './check_job_history';
export * from './job_history';
export * from './job_violation';
