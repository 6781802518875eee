/** What both HTTP faces and the stand-ins share. */
export * from './body';
export * from './listener';
export * from './open_requests';
export * from './problem';
export * from './request_error';
