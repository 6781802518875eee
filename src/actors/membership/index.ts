/** Membership of this process, heartbeats and leadership of pools. */
export * from './explanations';
export * from './heartbeats';
export * from './leadership_actor';
export * from './membership_actor';
export * from './relay';
