/** Operators' profiles as YAML documents. */
export * from './profile_schema';
export * from './read_profiles';
