/**
 * Stand-in for the external platform and its HTTP protocol, for tests and
 * benches.
 */
export * from './external_platform';
export * from './json_server';
export * from './store_api';
