/** Composition root: creates an entry host from its parts. */
export * from './core';
export * from './entry';
export * from './adapters';
