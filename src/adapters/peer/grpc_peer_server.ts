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
  /** TCP port on which the server listens. */
  readonly port: number;
  /** Registers method handlers; calls to other methods are rejected. */
  serve(handlers: readonly AnyPeerHandler[]): void;
  /** Resolves once open calls have ended or the shutdown timed out. */
  dispose(): Promise<void>;
}

const SHUTDOWN_TIMEOUT_MS = 1_000;

/**
 * Starts the gRPC server that other members call.
 *
 * @param address IP address to listen on
 * @param port TCP port; 0 selects a free one
 * @param credentials TLS credentials; by default connections are unencrypted,
 *   which is safe on a private network only
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
        // tryShutdown() never finishes while an unresponsive connection stays
        // open.
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
