/** Decisions about the operators' configuration. */
export * from './check_profile_set';
export * from './newer_configuration';
