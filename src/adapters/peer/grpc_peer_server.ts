import {
  Server,
  ServerCredentials,
  ServerUnaryCall,
  sendUnaryData,
  status,
} from '@grpc/grpc-js';
import {AnyPeerHandler, PeerHandler} from '../../ports';

/** The gRPC server that other members call. */
export interface GrpcPeerServer {
  readonly port: number;
  /** Adds methods; calls to others are refused. */
  serve(handlers: readonly AnyPeerHandler[]): void;
  dispose(): Promise<void>;
}

const SHUTDOWN_TIMEOUT_MS = 1_000;

/**
 * Starts the gRPC server of a member.
 *
 * @param address IP address to listen on
 * @param port TCP port; 0 picks a free one
 * @param credentials TLS settings, or none on a closed network
 */
export async function createGrpcPeerServer(
  address: string,
  port: number,
  credentials: ServerCredentials = ServerCredentials.createInsecure(),
): Promise<GrpcPeerServer> {
  const server = new Server();
  const boundPort = await new Promise<number>((resolve, reject) =>
    server.bindAsync(`${address}:${port}`, credentials, (error, boundPort) =>
      error ? reject(error) : resolve(boundPort),
    ),
  );

  return {
    port: boundPort,
    serve(handlers) {
      for (const handler of handlers) register(server, handler);
    },
    dispose: () =>
      new Promise(resolve => {
        // A silent connection would keep the server from ever being stopped.
        const timer = setTimeout(() => {
          server.forceShutdown();
          resolve();
        }, SHUTDOWN_TIMEOUT_MS);
        server.tryShutdown(() => {
          clearTimeout(timer);
          resolve();
        });
      }),
  };
}

function register<Request, Reply>(
  server: Server,
  {method, handle}: PeerHandler<Request, Reply>,
): void {
  const name = method.path.split('/').pop() as string;
  server.addService(
    {[name]: method},
    {
      [name]: (
        call: ServerUnaryCall<Request, Reply>,
        reply: sendUnaryData<Reply>,
      ) => {
        handle(call.request).then(
          value => reply(null, value),
          (error: Error) =>
            reply({code: status.INTERNAL, details: error.message}),
        );
      },
    },
  );
}
