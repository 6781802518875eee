import {createMethod} from './method';
import {sesamefront} from './generated/membership';

const messages = sesamefront.membership;

/** Content of a heartbeat and of its reply. */
export interface Heartbeat {
  readonly memberId: string;
  /** Revision of the configuration in force; 0 for none. */
  readonly configurationRevision: number;
  /** Tells one run of a member's process from the next. */
  readonly incarnation: string;
  /** True while the store answers the sender. */
  readonly storeAnswers: boolean;
}

/** Method by which members tell each other that they are alive. */
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
