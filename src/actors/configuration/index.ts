/** The active configuration and changes to it. */
export * from './configuration_change';
export * from './change_refusal';
export * from './configuration_actor';
