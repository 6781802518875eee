import {Peers, StoreChange} from '../../../ports';
import {RelayFeed, RelayUpdate, relayWatchMethod} from '../../../protocol';
import {ChangeLog, delay} from '../../../state';
import {Member} from '../../../types';
import {RelayLogs} from './relay_logs';

/** Dependencies of following the store through another member. */
export interface FollowMemberOptions {
  readonly peers: Peers;
  readonly relayLogs: RelayLogs;
  readonly selfId: string;
  /** The member to follow. */
  readonly source: Member;
  /** Returns whether the source is still the preferred one. */
  readonly isPreferredSource: () => boolean;
  readonly signal: AbortSignal;
}

interface LogPosition {
  readonly epoch: string;
  readonly sequence: number;
}

const MAX_WATCH_WAIT_MS = 2_000;
/** Time allowed for the answer in addition to the wait of a watch. */
const ANSWER_TIMEOUT_MS = 1_000;
/** Minimum time between two watches, so that changes arrive in batches. */
const MIN_WATCH_INTERVAL_MS = 250;
/** Maximum age of the content before another source is chosen. */
export const MAX_CONTENT_AGE_MS = 10_000;

/**
 * Keeps the logs up to date from another member until it is no longer a usable
 * source.
 *
 * @returns the reason for which the source is no longer followed
 */
export async function followMember(
  options: FollowMemberOptions,
): Promise<string> {
  const {relayLogs, signal, isPreferredSource} = options;
  const positions = new Map<string, LogPosition>();

  while (!signal.aborted && isPreferredSource()) {
    const reply = await watchSource(options, positions);
    if (!reply) return 'does not answer';
    if (signal.aborted) return 'stopped';
    const laggingPrefix = applyFeeds(relayLogs, positions, reply);
    if (laggingPrefix) return `is behind on ${laggingPrefix}`;
    if (!reply.connected) return 'has no connection to the store';
    if (reply.ageMs > MAX_CONTENT_AGE_MS) return `is ${reply.ageMs} ms old`;
    for (const prefix of relayLogs.logs.keys()) {
      relayLogs.confirm(prefix, reply.ageMs);
    }
    await delay(MIN_WATCH_INTERVAL_MS, signal);
  }
  return 'is no longer the preferred source';
}

async function watchSource(
  options: FollowMemberOptions,
  positions: ReadonlyMap<string, LogPosition>,
): Promise<RelayUpdate | undefined> {
  const {peers, relayLogs, selfId, source} = options;
  const cursors = [...relayLogs.logs.values()].map(log => ({
    prefix: log.prefix,
    epoch: positions.get(log.prefix)?.epoch ?? '',
    sequence: positions.get(log.prefix)?.sequence ?? 0,
    revision: log.isSynced() ? log.getRevision() : 0,
  }));
  const waitMs = positions.size === 0 ? 0 : MAX_WATCH_WAIT_MS;
  const reply = await peers.call(
    source,
    relayWatchMethod,
    {memberId: selfId, cursors, waitMs},
    waitMs + ANSWER_TIMEOUT_MS,
  );
  return reply.isOk ? reply.value : undefined;
}

/**
 * Applies the feeds of a reply to the logs.
 *
 * @returns the prefix on which the source is behind this member, if any
 */
function applyFeeds(
  relayLogs: RelayLogs,
  positions: Map<string, LogPosition>,
  reply: RelayUpdate,
): string | undefined {
  for (const feed of reply.feeds) {
    const log = relayLogs.logs.get(feed.prefix);
    if (!log) continue;
    if (feed.revision < log.getContentRevision()) return log.prefix;
    apply(log, feed);
    positions.set(feed.prefix, feed);
  }
  return undefined;
}

function apply(log: ChangeLog, feed: RelayFeed): void {
  const changes = feed.changes.map(decode);
  if (!feed.whole) return log.append(changes, feed.revision);
  const entries = changes.flatMap(change => change.entry ?? []);
  log.replace({revision: feed.revision, entries});
}

function decode(change: RelayFeed['changes'][number]): StoreChange {
  const {key, revision, deleted, value, leaseId} = change;
  if (deleted) return {key, revision};
  const lease = leaseId === '' ? undefined : leaseId;
  return {
    key,
    revision,
    entry: {key, value, version: revision, leaseId: lease},
  };
}
