/** Utilities shared by all actors. */
export * from './create_actor';
export * from './ticker';
