/** State of workflows at their leader, and pure scheduling decisions. */
export * from './admission';
export * from './demand_forecast';
export * from './encode_progress';
export * from './host_health';
export * from './host_room';
export * from './machine_view';
export * from './order_workflows';
export * from './pace_fillers';
export * from './place_tasks';
export * from './placement';
export * from './plan_pools';
export * from './plan_wave';
export * from './run_times';
export * from './stored_progress';
export * from './stored_state';
export * from './task_record';
export * from './workflow_record';
