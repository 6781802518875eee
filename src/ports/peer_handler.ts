import {PeerMethod} from './peer_method';

/** A method with what answers it. */
export interface PeerHandler<Request, Reply> {
  readonly method: PeerMethod<Request, Reply>;
  /** Answers one call; a rejection becomes a failure at the other side. */
  readonly handle: (request: Request) => Promise<Reply>;
}

/** Any handler, for lists of them. */
// eslint-disable-next-line @typescript-eslint/no-explicit-any
export type AnyPeerHandler = PeerHandler<any, any>;
