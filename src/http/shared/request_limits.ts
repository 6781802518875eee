import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {BodyMemory} from './request_body';

/** Bounds what the requests of all callers hold at once. */
export interface RequestLimits {
  /**
   * Admits a request; undefined if too many are in progress.
   *
   * A connection with too many unanswered requests is reset.
   */
  admit(
    request: IncomingMessage,
    response: ServerResponse,
  ): RequestAdmission | undefined;
}

/** What one request holds. */
export interface RequestAdmission extends BodyMemory {
  /** Returns all that the request holds. */
  release(): void;
}

/** Maximum number of requests in progress. */
const MAX_REQUESTS = 2_048;
/** Maximum number of unanswered requests of one connection. */
const MAX_PIPELINED = 32;
/** Maximum total size of the bodies of requests in progress, in bytes. */
const MAX_BODIES_BYTES = 8_388_608;

/** Maximum size of a small body in bytes. */
const SMALL_BODY_BYTES = 16_384;
/** Share of the memory that larger bodies leave to small ones. */
const SMALL_BODY_SHARE = 0.25;

/** Creates the limits of one server. */
export function createRequestLimits(): RequestLimits {
  const unanswered = new WeakMap<Socket, number>();
  let requests = 0;
  let reserved = 0;

  function countUnanswered(socket: Socket, change: number): number {
    const count = (unanswered.get(socket) ?? 0) + change;
    unanswered.set(socket, count);
    return count;
  }

  return {
    admit({socket}, response) {
      if (countUnanswered(socket, 1) > MAX_PIPELINED) {
        reset(socket);
        return undefined;
      }
      response.on('finish', () => countUnanswered(socket, -1));
      if (requests >= MAX_REQUESTS || socket.destroyed) return undefined;
      requests += 1;
      let held = 0;
      const hasRoom = (bytes: number) => {
        const isSmall = held + bytes <= SMALL_BODY_BYTES;
        const share = isSmall ? 1 : 1 - SMALL_BODY_SHARE;
        return reserved + bytes <= share * MAX_BODIES_BYTES;
      };
      return {
        hasRoom,
        reserve(bytes) {
          if (!hasRoom(bytes)) return false;
          held += bytes;
          reserved += bytes;
          return true;
        },
        release() {
          requests -= 1;
          reserved -= held;
        },
      };
    },
  };
}

/** Resets a connection and ignores requests that it has already received. */
function reset(socket: Socket): void {
  // The parser would create a request and a response for each of them.
  const {parser} = socket as {parser?: {onIncoming?: () => number}};
  if (parser) parser.onIncoming = () => 0;
  socket.resetAndDestroy();
}
