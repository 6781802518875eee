/** HTTP client of the workers. */
export * from './http_workers';
