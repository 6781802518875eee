/**
 * HTTP helpers shared by the callers' port, the operators' port and the
 * stand-ins.
 */
export * from './body';
export * from './listener';
export * from './open_requests';
export * from './problem';
export * from './request_error';
