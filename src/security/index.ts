/** TLS certificates and keys, which are reloaded without a restart. */
export * from './read_tls_material';
export * from './tls_identity';
export * from './tls_material';
export * from './tls_source';
