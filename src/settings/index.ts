/** Settings of one entry host: flags and variables, checked as a whole. */
export * from './given_setting';
export * from './read_settings';
export * from './setting';
export * from './setting_list';
export * from './settings';
