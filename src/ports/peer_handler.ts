import {PeerMethod} from './peer_method';

/** A method with its implementation. */
export interface PeerHandler<Request, Reply> {
  readonly method: PeerMethod<Request, Reply>;
  /**
   * Handles a call; a rejection is reported to the calling member as a failure.
   */
  readonly handle: (request: Request) => Promise<Reply>;
}

/** A handler of any method, for use in lists. */
// eslint-disable-next-line @typescript-eslint/no-explicit-any
export type AnyPeerHandler = PeerHandler<any, any>;
