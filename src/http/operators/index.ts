/** The operators' port. */
export * from './job_routes';
export * from './operators_handle';
export * from './profile_routes';
export * from './route';
export * from './status_routes';
export * from './wave_routes';
