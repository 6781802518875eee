import {Server} from 'node:net';
import {Log} from '../../telemetry';

/** Starts a server and keeps it listening. */
export interface ServerListener {
  isListening(): boolean;
  /** Doesn't try again; the caller closes the server. */
  stop(): void;
}

/** Options of a server that listens. */
export interface ServerListenerOptions {
  readonly server: Server;
  /** Name of the server in the log. */
  readonly name: string;
  /** Host and port. */
  readonly address: string;
  /** Called with each error of the server, also once it listens. */
  readonly onError: () => void;
  /**
   * Called if the address can't be listened on for long; if undefined, it is
   * tried for good.
   */
  readonly onGiveUp?: (cause: string) => void;
  readonly log: Log;
}

/**
 * Length of the queue of connections not yet accepted; sized for a burst of new
 * callers.
 */
const BACKLOG = 511;
const RETRY_MS = 250;
/** How long an address may be in use, as by a process that is ending, in ms. */
const GIVE_UP_MS = 60_000;
/** Minimum time between two log lines on errors of one server, in ms. */
const LOG_INTERVAL_MS = 5_000;

/**
 * Listens on an address, and tries again while that isn't possible: the process
 * before this one may still hold it, or the machine doesn't have it yet.
 *
 * Errors of a server that listens, such as of a connection that can't be
 * accepted, cost only that connection.
 */
export function createServerListener({
  server,
  name,
  address,
  onError,
  onGiveUp,
  log,
}: ServerListenerOptions): ServerListener {
  const [host, port] = address.split(':');
  const startedAt = performance.now();
  let timer: NodeJS.Timeout | undefined;
  let loggedAt = -Infinity;
  let stopped = false;

  function listen(): void {
    if (!stopped) server.listen({host, port: Number(port), backlog: BACKLOG});
  }

  server.on('error', ({message}) => {
    onError();
    const now = performance.now();
    if (now - loggedAt > LOG_INTERVAL_MS) {
      loggedAt = now;
      log.warn('server error', {server: name, address, cause: message});
    }
    if (server.listening || stopped) return;
    if (onGiveUp && now - startedAt > GIVE_UP_MS) {
      return onGiveUp(`can't listen on ${address}: ${message}`);
    }
    timer = setTimeout(listen, RETRY_MS);
  });
  listen();

  return {
    isListening: () => server.listening,
    stop() {
      stopped = true;
      clearTimeout(timer);
    },
  };
}
