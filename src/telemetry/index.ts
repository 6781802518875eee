/** Logs, metrics and recent decisions. */
export * from './decision_ring';
export * from './describe_process';
export * from './format_line';
export * from './line_writer';
export * from './log';
export * from './log_format';
export * from './log_level';
export * from './stream_target';
export * from './telemetry';
export * from './unexpected_errors';
export * from './workflow_meter';
