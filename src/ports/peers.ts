import type {Result} from 'true-myth/result';
import {Member} from '../types';
import {PeerFailure} from './peer_failure';
import {PeerMethod} from './peer_method';

/** Calls to other members; no call throws. */
export interface Peers {
  /** Makes a call with a timeout in ms. */
  call<Request, Reply>(
    member: Member,
    method: PeerMethod<Request, Reply>,
    request: Request,
    timeoutMs: number,
  ): Promise<Result<Reply, PeerFailure>>;
  /** Closes the connections to members that are not in the list. */
  retain(members: readonly Member[]): void;
  dispose(): void;
}
