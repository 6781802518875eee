import {Client, Dispatcher, Pool} from 'undici';

/** One entry host's connections to one worker for requests. */
export interface RequestConnections {
  /** Borrows a connection; undefined if all are in use. */
  acquire(fresh: boolean): AcquiredConnection | undefined;
  dispose(): void;
}

/** A connection for one request. */
export interface AcquiredConnection {
  readonly dispatcher: Dispatcher;
  /** Gives the connection back; called once the answer has ended. */
  release(): void;
  /** Gives the connection back and closes it, with all others that were open with it. */
  invalidate(): void;
}

/** Limits of the connections to one worker. */
export interface RequestConnectionsOptions {
  readonly origin: string;
  /** Connections open at once. */
  readonly maxConnections: number;
  /** Time limit of connecting in ms. */
  readonly connectTimeoutMs: number;
}

/** Connections kept apart for requests that need one of their own. */
const MAX_DEDICATED_CONNECTIONS = 2;
/** Time after which an idle connection is closed. */
const IDLE_TIMEOUT_MS = 2_000;

/** Creates connections, which are opened as they are needed. */
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
