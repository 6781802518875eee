/** Helpers shared by the HTTP clients. */
export * from './read_json';
