/** What all actors share. */
export * from './create_actor';
export * from './ticker';
