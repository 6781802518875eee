/**
 * Parsing, validation and explanation of profiles written as YAML documents.
 */
export * from './profile_json_schema';
export * from './profile_schema';
export * from './explain_profile';
export * from './read_profiles';
