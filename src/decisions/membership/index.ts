/** Decisions about members and leaders. */
export * from './assign_leaders';
export * from './heartbeat_targets';
export * from './evaluate_member';
export * from './preferred_member';
export * from './relay_candidates';
