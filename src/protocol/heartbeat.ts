import {createMethod} from './method';
import {sesamefront} from './generated/membership';

const messages = sesamefront.membership;

/** Message of a heartbeat and of its reply. */
export interface Heartbeat {
  /** Member that sends the message. */
  readonly memberId: string;
  /** Revision of the sender's active configuration; 0 if there is none. */
  readonly configurationRevision: number;
  /** Id of the sender's process; changes when the member restarts. */
  readonly incarnation: string;
  /** Whether the store currently answers the sender. */
  readonly storeAnswers: boolean;
}

/** Method with which members inform each other that they are alive. */
export const heartbeatMethod = createMethod<Heartbeat, Heartbeat>(
  '/sesamefront.membership.Membership/Heartbeat',
  {
    encode: value => messages.HeartbeatRequest.encode(value),
    decode: bytes =>
      messages.HeartbeatRequest.decode(bytes) as unknown as Heartbeat,
  },
  {
    encode: value => messages.HeartbeatReply.encode(value),
    decode: bytes =>
      messages.HeartbeatReply.decode(bytes) as unknown as Heartbeat,
  },
);
