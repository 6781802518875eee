/** Request handlers of the callers' port. */
export * from './callers_handle';
