import {
  ChannelCredentials,
  Client,
  ServiceError,
  credentials,
  status,
} from '@grpc/grpc-js';
import {Result} from 'true-myth';
import {PeerFailure, PeerMethod, Peers} from '../../ports';
import {Member} from '../../types';

const KEEPALIVE_MS = 1_000;
const KEEPALIVE_TIMEOUT_MS = 1_000;
const RECONNECT_MIN_MS = 100;
const RECONNECT_MAX_MS = 1_000;
/** Number of consecutive timeouts after which a connection is replaced. */
const MAX_CONSECUTIVE_TIMEOUTS = 2;

/** A gRPC connection to a member. */
interface Connection {
  readonly client: Client;
  /**
   * Number of calls that have timed out since the last reply or other error.
   */
  consecutiveTimeouts: number;
}

/**
 * Creates a gRPC client for calls to other members.
 *
 * @param channelCredentials TLS credentials; by default connections are
 *   unencrypted, which is safe on a private network only
 */
export function createGrpcPeers(
  channelCredentials: ChannelCredentials = credentials.createInsecure(),
): Peers {
  const connections = new Map<string, Connection>();

  function connect(member: Member): Connection {
    const target = getTarget(member);
    const existing = connections.get(target);
    if (existing) return existing;
    const client = new Client(target, channelCredentials, {
      'grpc.keepalive_time_ms': KEEPALIVE_MS,
      'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
      'grpc.initial_reconnect_backoff_ms': RECONNECT_MIN_MS,
      'grpc.max_reconnect_backoff_ms': RECONNECT_MAX_MS,
      'grpc.use_local_subchannel_pool': 1,
    });
    const connection = {client, consecutiveTimeouts: 0};
    connections.set(target, connection);
    return connection;
  }

  /**
   * Counts consecutive timeouts and closes a connection that has too many,
   * because the remote end may no longer know it. The next call opens a new
   * one.
   */
  function recordOutcome(
    member: Member,
    connection: Connection,
    failure: PeerFailure | undefined,
  ): void {
    const timedOut = failure === PeerFailure.TimedOut;
    connection.consecutiveTimeouts = timedOut
      ? connection.consecutiveTimeouts + 1
      : 0;
    if (connection.consecutiveTimeouts < MAX_CONSECUTIVE_TIMEOUTS) return;
    const target = getTarget(member);
    if (connections.get(target) === connection) connections.delete(target);
    connection.client.close();
  }

  /** @throws Error if the member's address can't be used */
  function send<Request, Reply>(
    member: Member,
    method: PeerMethod<Request, Reply>,
    request: Request,
    timeoutMs: number,
  ): Promise<Result<Reply, PeerFailure>> {
    return new Promise(resolve => {
      const connection = connect(member);
      connection.client.makeUnaryRequest(
        method.path,
        method.requestSerialize,
        method.responseDeserialize,
        request,
        {deadline: Date.now() + timeoutMs},
        (error, reply) => {
          const failure = error ? classifyError(error) : undefined;
          recordOutcome(member, connection, failure);
          if (failure) return resolve(Result.err(failure));
          if (reply === undefined) {
            return resolve(Result.err(PeerFailure.Rejected));
          }
          resolve(Result.ok(reply));
        },
      );
    });
  }

  return {
    async call(member, method, request, timeoutMs) {
      try {
        return await send(member, method, request, timeoutMs);
      } catch {
        return Result.err(PeerFailure.Unreachable);
      }
    },
    retain(members) {
      const kept = new Set(members.map(getTarget));
      for (const [target, {client}] of connections) {
        if (kept.has(target)) continue;
        client.close();
        connections.delete(target);
      }
    },
    dispose() {
      for (const {client} of connections.values()) client.close();
      connections.clear();
    },
  };
}

function getTarget({address, peerPort}: Member): string {
  return `${address}:${peerPort}`;
}

function classifyError(error: ServiceError): PeerFailure {
  if (error.code === status.UNAVAILABLE) return PeerFailure.Unreachable;
  if (error.code === status.DEADLINE_EXCEEDED) return PeerFailure.TimedOut;
  if (error.code === status.FAILED_PRECONDITION) return PeerFailure.Fenced;
  return PeerFailure.Rejected;
}
