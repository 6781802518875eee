import {Result} from 'true-myth';
import {AnyPeerHandler, PeerFailure, PeerMethod, Peers} from '../../ports';
import {delay} from '../../state';
import {Member} from '../../types';

/** Network between members in one process, with partitions, for tests. */
export interface MemoryNetwork {
  /** Makes a member reachable; returns a function that makes it unreachable. */
  attach(memberId: string, handlers: readonly AnyPeerHandler[]): () => void;
  /** Creates the peer port of a member. */
  createPeers(memberId: string): Peers;
  /** Blocks or unblocks messages from one member to another, one way only. */
  setBlocked(from: string, to: string, blocked: boolean): void;
}

/** One-way latency of a message in ms. */
const LATENCY_MS = 1;

/** Creates a network without members. */
export function createMemoryNetwork(): MemoryNetwork {
  const members = new Map<string, readonly AnyPeerHandler[]>();
  const blocked = new Set<string>();

  async function call<Request, Reply>(
    from: string,
    to: Member,
    method: PeerMethod<Request, Reply>,
    request: Request,
    timeoutMs: number,
  ): Promise<Result<Reply, PeerFailure>> {
    const handler = members
      .get(to.id)
      ?.find(h => h.method.path === method.path);
    if (!handler) return Result.err(PeerFailure.Unreachable);
    if (blocked.has(getLinkKey(from, to.id))) {
      await delay(timeoutMs);
      return Result.err(PeerFailure.TimedOut);
    }
    await delay(LATENCY_MS);
    const received = method.requestDeserialize(
      method.requestSerialize(request),
    );
    try {
      const reply = (await handler.handle(received)) as Reply;
      await delay(LATENCY_MS);
      if (blocked.has(getLinkKey(to.id, from))) {
        await delay(timeoutMs);
        return Result.err(PeerFailure.TimedOut);
      }
      return Result.ok(
        method.responseDeserialize(method.responseSerialize(reply)),
      );
    } catch {
      return Result.err(PeerFailure.Rejected);
    }
  }

  return {
    attach(memberId, handlers) {
      members.set(memberId, handlers);
      return () => members.delete(memberId);
    },
    createPeers: memberId => ({
      call: (member, method, request, timeoutMs) =>
        call(memberId, member, method, request, timeoutMs),
      retain: () => {},
      dispose: () => {},
    }),
    setBlocked(from, to, value) {
      if (value) blocked.add(getLinkKey(from, to));
      else blocked.delete(getLinkKey(from, to));
    },
  };
}

function getLinkKey(from: string, to: string): string {
  return `${from}>${to}`;
}
