/** The one place where an entry host is put together. */
export * from './core';
export * from './entry';
export * from './outside';
