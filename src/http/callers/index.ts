/** Request handlers of the callers' port. */
export * from './caller_handler';
