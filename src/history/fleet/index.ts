/** Checks of recorded histories of hosts, ledgers and assignments. */
export * from './check_fleet_history';
export * from './history_event';
export * from './history_fault';
export * from './host_transitions';
