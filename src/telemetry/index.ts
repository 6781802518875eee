/** Logs, metrics and recent decisions. */
export * from './decision_ring';
export * from './log';
export * from './log_level';
export * from './telemetry';
