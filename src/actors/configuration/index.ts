/** The configuration in force and its changes. */
export * from './change';
export * from './change_refusal';
export * from './configuration_actor';
