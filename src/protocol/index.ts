/** gRPC methods and messages between members. */
export * from './borrow';
export * from './claims';
export * from './explain';
export * from './gossip';
export * from './heartbeat';
export * from './method';
export * from './relay';
