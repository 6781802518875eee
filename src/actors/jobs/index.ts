/** Long jobs: callers' calls and the leader's keeper. */
export * from './job_calls';
export * from './pool_jobs_actor';
export * from './submission';
