/** HTTP client of the platform's host list. */
export * from './http_host_list';
