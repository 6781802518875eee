/**
 * Workflows, the hosts that run their tasks and the machines on which the hosts
 * run.
 */
export * from './advice_times';
export * from './caller';
export * from './capacity';
export * from './fleet_configuration';
export * from './machine';
export * from './maintenance_wave';
export * from './organisation';
export * from './pool';
export * from './queue';
export * from './running_task';
export * from './step';
export * from './task_end';
export * from './task_host';
export * from './workflow';
export * from './workflow_state';
