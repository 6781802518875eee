/** Wrappers of ports that omit entries of another format. */
export * from './checked_store';
