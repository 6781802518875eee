/** Messages between members: protobuf definitions and their gRPC methods. */
export * from './claims';
export * from './heartbeat';
export * from './method';
