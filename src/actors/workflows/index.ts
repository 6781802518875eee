/**
 * Workflow processing: the intake at each entry host, and the elected leader
 * that schedules and runs workflows.
 */
export * from './cancel_outcome';
export * from './coordinator';
export * from './find_queue';
export * from './intake';
export * from './key_check';
export * from './invalid_entries';
export * from './keys';
export * from './leadership';
export * from './machine_manager';
export * from './order_sightings';
export * from './submit_answer';
export * from './submit_outcome';
export * from './term_errors';
export * from './wave_status';
export * from './workflow_draft';
