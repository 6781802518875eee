/** Stand-in for the hosts that run tasks and for their machines. */
export * from './fleet_event';
export * from './memory_fleet';
export * from './task_host_model';
