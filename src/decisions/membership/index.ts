/** Decisions about members and leaders. */
export * from './assign_leaders';
export * from './heartbeat_targets';
export * from './judge_member';
export * from './preferred_member';
export * from './relay_candidates';
