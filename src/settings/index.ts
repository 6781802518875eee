/** Settings of one entry host. */
export * from './settings';
