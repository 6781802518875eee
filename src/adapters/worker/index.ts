/** Adapter to the workers. */
export * from './http_workers';
