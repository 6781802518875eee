import {
  ChannelCredentials,
  Client,
  ServiceError,
  credentials,
  status,
} from '@grpc/grpc-js';
import {Result} from 'true-myth';
import {PeerFailure, Peers} from '../../ports';
import {Member} from '../../types';

const KEEPALIVE_MS = 1_000;
const KEEPALIVE_TIMEOUT_MS = 1_000;
const RECONNECT_MIN_MS = 100;
const RECONNECT_MAX_MS = 1_000;

/**
 * Creates calls to other members over gRPC.
 *
 * @param channelCredentials TLS settings, or none on a closed network
 */
export function createGrpcPeers(
  channelCredentials: ChannelCredentials = credentials.createInsecure(),
): Peers {
  const clients = new Map<string, Client>();

  function connect(member: Member): Client {
    const target = targetOf(member);
    const known = clients.get(target);
    if (known) return known;
    const client = new Client(target, channelCredentials, {
      'grpc.keepalive_time_ms': KEEPALIVE_MS,
      'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
      'grpc.initial_reconnect_backoff_ms': RECONNECT_MIN_MS,
      'grpc.max_reconnect_backoff_ms': RECONNECT_MAX_MS,
    });
    clients.set(target, client);
    return client;
  }

  return {
    call: (member, method, request, timeoutMs) =>
      new Promise(resolve => {
        connect(member).makeUnaryRequest(
          method.path,
          method.requestSerialize,
          method.responseDeserialize,
          request,
          {deadline: Date.now() + timeoutMs},
          (error, reply) => {
            if (error) return resolve(Result.err(classify(error)));
            if (reply === undefined) {
              return resolve(Result.err(PeerFailure.Rejected));
            }
            resolve(Result.ok(reply));
          },
        );
      }),
    retain(members) {
      const kept = new Set(members.map(targetOf));
      for (const [target, client] of clients) {
        if (kept.has(target)) continue;
        client.close();
        clients.delete(target);
      }
    },
    dispose() {
      for (const client of clients.values()) client.close();
      clients.clear();
    },
  };
}

function targetOf({address, peerPort}: Member): string {
  return `${address}:${peerPort}`;
}

function classify(error: ServiceError): PeerFailure {
  if (error.code === status.UNAVAILABLE) return PeerFailure.Unreachable;
  if (error.code === status.DEADLINE_EXCEEDED) return PeerFailure.TimedOut;
  if (error.code === status.FAILED_PRECONDITION) return PeerFailure.Fenced;
  return PeerFailure.Rejected;
}
