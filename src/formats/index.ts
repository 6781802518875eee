/** Formats of the data that other programs provide, and their decoding. */
export * from './configuration_format';
export * from './decision_format';
export * from './decode';
export * from './generation_format';
export * from './host_format';
export * from './record_format';
export * from './store_formats';
export * from './worker_formats';
