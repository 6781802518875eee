/** Routes and request handler of the operators' port. */
export * from './host_routes';
export * from './job_routes';
export * from './operator_handler';
export * from './page';
export * from './profile_routes';
export * from './route';
export * from './send_result';
export * from './status_routes';
export * from './wave_routes';
