/** The callers' port. */
export * from './callers_handle';
