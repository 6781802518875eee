/** A stand-in that speaks the users' published protocol, for tests and benches. */
export * from './users_platform';
