/**
 * Settings of an entry host, read from flags and environment variables and
 * validated together.
 */
export * from './resolved_setting';
export * from './read_settings';
export * from './setting';
export * from './setting_list';
export * from './settings';
