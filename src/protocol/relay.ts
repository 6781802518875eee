import {createMethod} from './method';
import {sesamefront} from './generated/relay';

const messages = sesamefront.relay;

/** Position of a member in the log that another member keeps of a prefix. */
export interface RelayCursor {
  /** Prefix of the keys in the store. */
  readonly prefix: string;
  /** Epoch of the answering member's log; empty in the first request. */
  readonly epoch: string;
  /** Sequence number of the last change that was read. */
  readonly sequence: number;
  /** Store revision up to which the requesting member has all changes. */
  readonly revision: number;
}

/** Request to wait for changes after the cursors. */
export interface RelayWatch {
  /** Member that sends the request. */
  readonly memberId: string;
  readonly cursors: readonly RelayCursor[];
  /** Maximum wait for changes, in ms. */
  readonly waitMs: number;
}

/** A change of a key. */
export interface RelayChange {
  readonly key: string;
  /** Store revision in which the key changed. */
  readonly revision: number;
  readonly deleted: boolean;
  readonly value: string;
  /** Id of the key's lease; empty if there is none. */
  readonly leaseId: string;
}

/** Changes under one prefix. */
export interface RelayFeed {
  readonly prefix: string;
  /** Epoch of the answering member's log. */
  readonly epoch: string;
  /** Sequence number of the last change. */
  readonly sequence: number;
  /** Store revision up to which the feed has all changes. */
  readonly revision: number;
  /**
   * Whether the changes are the complete content of the prefix instead of only
   * those after the cursor.
   */
  readonly whole: boolean;
  readonly changes: readonly RelayChange[];
}

/** Reply to a relayed watch. */
export interface RelayUpdate {
  readonly feeds: readonly RelayFeed[];
  /**
   * Whether the answering member receives changes from the store, directly or
   * relayed.
   */
  readonly connected: boolean;
  /** Time since the store last confirmed the content, in ms. */
  readonly ageMs: number;
}

/** Method with which a member watches the store through another member. */
export const relayWatchMethod = createMethod<RelayWatch, RelayUpdate>(
  '/sesamefront.relay.Relay/Watch',
  {
    encode: value =>
      messages.WatchRequest.encode({...value, cursors: [...value.cursors]}),
    decode: bytes =>
      messages.WatchRequest.decode(bytes) as unknown as RelayWatch,
  },
  {
    encode: value =>
      messages.WatchReply.encode({
        ...value,
        feeds: value.feeds.map(feed => ({
          ...feed,
          changes: [...feed.changes],
        })),
      }),
    decode: bytes =>
      messages.WatchReply.decode(bytes) as unknown as RelayUpdate,
  },
);
