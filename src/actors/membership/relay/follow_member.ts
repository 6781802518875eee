import {Peers, StoreChange} from '../../../ports';
import {RelayFeed, RelayNews, relayWatchMethod} from '../../../protocol';
import {ChangeLog, delay} from '../../../state';
import {Member} from '../../../types';
import {RelayLogs} from './relay_logs';

/** Where a member that is fed by another one gets what it needs. */
export interface FollowMemberOptions {
  readonly peers: Peers;
  readonly relayLogs: RelayLogs;
  readonly selfId: string;
  /** The member that feeds this one. */
  readonly source: Member;
  /** True while the source is still the one to follow. */
  readonly isPreferredSource: () => boolean;
  readonly signal: AbortSignal;
}

interface LogPosition {
  readonly epoch: string;
  readonly sequence: number;
}

const MAX_WATCH_WAIT_MS = 2_000;
const ANSWER_TIMEOUT_MS = 1_000;
/** Least time between two watches, so that changes come in batches. */
const MIN_WATCH_INTERVAL_MS = 250;
/** Age of the content from which another source is looked for. */
export const MAX_CONTENT_AGE_MS = 10_000;

/**
 * Keeps the logs up to date from another member.
 *
 * @returns why the source is no longer followed
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
  return 'is not wanted any more';
}

async function watchSource(
  options: FollowMemberOptions,
  positions: ReadonlyMap<string, LogPosition>,
): Promise<RelayNews | undefined> {
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

/** Returns the prefix of which the source knows less than this member, if any. */
function applyFeeds(
  relayLogs: RelayLogs,
  positions: Map<string, LogPosition>,
  reply: RelayNews,
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
