/** Decisions about the operator's configuration. */
export * from './acceptances';
export * from './check_profile_set';
export * from './diff_profiles';
export * from './newer_configuration';
