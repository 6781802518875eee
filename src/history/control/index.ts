/** Checks of recorded histories of leadership and of the configuration. */
export * from './check_configuration';
export * from './check_leadership';
export * from './configuration_event';
export * from './control_violation';
export * from './leadership_event';
