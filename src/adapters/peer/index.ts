/** gRPC client and server for calls between members. */
export * from './grpc_credentials';
export * from './grpc_peer_server';
export * from './grpc_peers';
