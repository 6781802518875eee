/**
 * Long-running jobs: the API for callers, and the actor by which a pool's
 * leader runs them.
 */
export * from './lease_renewer';
export * from './job_api';
export * from './job_refusal';
export * from './pool_jobs_actor';
export * from './pool_jobs_options';
export * from './release_decision';
export * from './retention';
export * from './submission';
