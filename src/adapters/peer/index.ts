/** Adapter to the other members over gRPC. */
export * from './grpc_credentials';
export * from './grpc_peer_server';
export * from './grpc_peers';
