import {createMethod} from './method';
import {sesamefront} from './generated/relay';

const messages = sesamefront.relay;

/** How far a member has read one prefix of another member's log. */
export interface RelayCursor {
  readonly prefix: string;
  /** Epoch of the answering member's log; empty at first. */
  readonly epoch: string;
  readonly sequence: number;
  /** Revision of the store up to which the asking member is complete. */
  readonly revision: number;
}

/** Waits for changes after the cursors. */
export interface RelayWatch {
  readonly memberId: string;
  readonly cursors: readonly RelayCursor[];
  readonly waitMs: number;
}

/** One change of a key. */
export interface RelayChange {
  readonly key: string;
  /** Revision of the store that made the change. */
  readonly revision: number;
  readonly deleted: boolean;
  readonly value: string;
  /** Empty for a key without a lease. */
  readonly leaseId: string;
}

/** What is new under one prefix. */
export interface RelayFeed {
  readonly prefix: string;
  readonly epoch: string;
  readonly sequence: number;
  readonly revision: number;
  /** True if the changes are the whole content. */
  readonly whole: boolean;
  readonly changes: readonly RelayChange[];
}

/** Reply to a relayed watch. */
export interface RelayNews {
  readonly feeds: readonly RelayFeed[];
  /** True while the answering member is fed by the store, by itself or by others. */
  readonly connected: boolean;
  /** Time since the store last confirmed the content, in ms. */
  readonly ageMs: number;
}

/** Method by which one member follows the store through another. */
export const relayWatchMethod = createMethod<RelayWatch, RelayNews>(
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
    decode: bytes => messages.WatchReply.decode(bytes) as unknown as RelayNews,
  },
);
