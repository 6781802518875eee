import {Client, Dispatcher, Pool} from 'undici';

/** One entry host's connections to one worker for requests. */
export interface RequestConnections {
  /** Borrows a connection; undefined if all are in use. */
  borrow(fresh: boolean): BorrowedConnection | undefined;
  dispose(): void;
}

/** A connection for one request. */
export interface BorrowedConnection {
  readonly dispatcher: Dispatcher;
  /** Gives the connection back; called once the answer has ended. */
  end(): void;
  /** Gives the connection back and closes it, with all others that were open with it. */
  distrust(): void;
}

/** Limits of the connections to one worker. */
export interface RequestConnectionsOptions {
  readonly origin: string;
  /** Connections open at once. */
  readonly limit: number;
  /** Time limit of connecting in ms. */
  readonly connectTimeoutMs: number;
}

/** Connections kept apart for requests that need one of their own. */
const FRESH_CONNECTIONS = 2;
/** Time after which an idle connection is closed. */
const IDLE_MS = 2_000;

/** Creates connections, which are opened as they are needed. */
export function createRequestConnections(
  options: RequestConnectionsOptions,
): RequestConnections {
  const {origin, limit} = options;
  const kept = Math.max(1, limit - FRESH_CONNECTIONS);
  const settings = {
    pipelining: 1,
    keepAliveTimeout: IDLE_MS,
    keepAliveMaxTimeout: IDLE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: {timeout: options.connectTimeoutMs},
  };
  const clients = new Set<Client>();
  let pool = createPool();
  let borrowed = 0;

  function createPool(): Pool {
    return new Pool(origin, {...settings, connections: kept});
  }

  function borrowKept(): BorrowedConnection {
    const from = pool;
    borrowed += 1;
    const end = once(() => {
      borrowed -= 1;
    });
    return {
      dispatcher: from,
      end,
      distrust() {
        end();
        if (pool !== from) return;
        pool = createPool();
        void from.close();
      },
    };
  }

  function borrowFresh(): BorrowedConnection {
    const client = new Client(origin, settings);
    clients.add(client);
    const end = once(() => {
      clients.delete(client);
      void client.destroy();
    });
    return {dispatcher: client, end, distrust: end};
  }

  return {
    borrow(fresh) {
      if (!fresh && borrowed < kept) return borrowKept();
      return clients.size < FRESH_CONNECTIONS ? borrowFresh() : undefined;
    },
    dispose() {
      void pool.destroy();
      for (const client of clients) void client.destroy();
      clients.clear();
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
