/** Interactive requests at one entry host. */
export * from './answer';
export * from './interactive_request';
export * from './pool_requests_actor';
export * from './refusal';
export * from './requests';
