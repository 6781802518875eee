/**
 * Workflow processing: the intake at each entry host, and the elected leader
 * that schedules and runs workflows.
 */
export * from './coordinator';
export * from './find_queue';
export * from './intake';
export * from './key_check';
export * from './keys';
export * from './leadership';
export * from './machine_manager';
export * from './order_sightings';
