/** Wrappers of ports that measure their calls. */
export * from './measure';
export * from './metered_store';
export * from './metered_task_hosts';
