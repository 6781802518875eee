/** Stand-in for the platform's key-value service and host list. */
export * from './call_kind';
export * from './key_value';
export * from './memory_store';
export * from './platform_server';
export * from './store_faults';
