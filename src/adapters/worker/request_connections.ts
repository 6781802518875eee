import {Client, Dispatcher, Pool} from 'undici';

/** Connections from this entry host to one worker for requests. */
export interface RequestConnections {
  /**
   * Acquires a connection for one request.
   *
   * @param fresh whether to open a new connection for the request instead of
   *   using one of the pool
   * @returns the connection, or undefined if all are in use
   */
  acquire(fresh: boolean): AcquiredConnection | undefined;
  dispose(): void;
}

/** A connection acquired for one request. */
export interface AcquiredConnection {
  readonly dispatcher: Dispatcher;
  /** Releases the connection; to be called once the response has ended. */
  release(): void;
  /**
   * Releases the connection and closes it, together with the other pooled
   * connections if it belongs to the pool.
   */
  invalidate(): void;
}

/** Limits of the connections to one worker. */
export interface RequestConnectionsOptions {
  readonly origin: string;
  /** Maximum number of simultaneous connections. */
  readonly maxConnections: number;
  /** Timeout for opening a connection, in ms. */
  readonly connectTimeoutMs: number;
}

/**
 * Number of connections reserved for requests that need a new connection or
 * find the pool exhausted.
 */
const MAX_DEDICATED_CONNECTIONS = 2;
/** Time after which an idle connection is closed, in ms. */
const IDLE_TIMEOUT_MS = 2_000;

/** Creates the connections to a worker. They are opened on demand. */
export function createRequestConnections(
  options: RequestConnectionsOptions,
): RequestConnections {
  const {origin, maxConnections} = options;
  const poolSize = Math.max(1, maxConnections - MAX_DEDICATED_CONNECTIONS);
  const settings = {
    pipelining: 1,
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: {timeout: options.connectTimeoutMs},
  };
  const dedicatedClients = new Set<Client>();
  let pool = createPool();
  let pooledInUse = 0;

  function createPool(): Pool {
    return new Pool(origin, {...settings, connections: poolSize});
  }

  function acquirePooled(): AcquiredConnection {
    const acquiredFrom = pool;
    pooledInUse += 1;
    const release = once(() => {
      pooledInUse -= 1;
    });
    return {
      dispatcher: acquiredFrom,
      release,
      invalidate() {
        release();
        if (pool !== acquiredFrom) return;
        pool = createPool();
        void acquiredFrom.close();
      },
    };
  }

  function acquireDedicated(): AcquiredConnection {
    const client = new Client(origin, settings);
    dedicatedClients.add(client);
    const release = once(() => {
      dedicatedClients.delete(client);
      void client.destroy();
    });
    return {dispatcher: client, release, invalidate: release};
  }

  return {
    acquire(fresh) {
      if (!fresh && pooledInUse < poolSize) return acquirePooled();
      return dedicatedClients.size < MAX_DEDICATED_CONNECTIONS
        ? acquireDedicated()
        : undefined;
    },
    dispose() {
      void pool.destroy();
      for (const client of dedicatedClients) void client.destroy();
      dedicatedClients.clear();
    },
  };
}

function once(action: () => void): () => void {
  let done = false;
  return () => {
    if (done) return;
    done = true;
    action();
  };
}
