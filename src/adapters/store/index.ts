/** HTTP client of the platform's key-value service. */
export * from './http_store';
