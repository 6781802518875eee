/** Stand-in for the workers of the pools. */
export * from './memory_workers';
export * from './run_record';
export * from './worker_faults';
export * from './worker_model';
export * from './worker_server';
