/** Decisions about long jobs. */
export * from './choose_worker';
export * from './transitions';
