import {StoreChange, StoreEntry} from '../../../ports';
import {
  RelayChange,
  RelayCursor,
  RelayFeed,
  RelayUpdate,
  RelayWatch,
} from '../../../protocol';
import {ChangeLog} from '../../../state';
import {RelayLogs} from './relay_logs';

const MAX_WAIT_MS = 5_000;
/**
 * Upper bound of the encoded age, which is infinite before the first
 * confirmation.
 */
const MAX_ENCODED_AGE_MS = 2 ** 31;

/**
 * Handles a watch by a member that follows the store through this member.
 *
 * Waits for a change if the caller is up to date.
 */
export async function handleRelayWatch(
  relayLogs: RelayLogs,
  request: RelayWatch,
): Promise<RelayUpdate> {
  const {cursors, waitMs} = request;
  if (
    relayLogs.isConnected() &&
    !cursors.some(c => hasUnseenChanges(relayLogs, c))
  ) {
    await relayLogs.waitForChange(Math.min(waitMs, MAX_WAIT_MS));
  }
  return {
    feeds: cursors.flatMap(cursor => readFeed(relayLogs, cursor)),
    connected: relayLogs.isConnected(),
    ageMs: Math.round(Math.min(relayLogs.getAgeMs(), MAX_ENCODED_AGE_MS)),
  };
}

function hasUnseenChanges(relayLogs: RelayLogs, cursor: RelayCursor): boolean {
  const log = relayLogs.logs.get(cursor.prefix);
  if (!log?.isSynced()) return false;
  return cursor.epoch !== log.epoch || cursor.sequence !== log.getSequence();
}

function readFeed(
  relayLogs: RelayLogs,
  cursor: RelayCursor,
): readonly RelayFeed[] {
  const log = relayLogs.logs.get(cursor.prefix);
  if (!log?.isSynced()) return [];
  const known = cursor.epoch === log.epoch;
  if (
    known &&
    cursor.sequence === log.getSequence() &&
    cursor.revision === log.getRevision()
  ) {
    return [];
  }
  const seen = log.read(cursor.sequence);
  const whole = !known || seen.compacted;
  return [
    {
      prefix: log.prefix,
      epoch: log.epoch,
      sequence: log.getSequence(),
      revision: log.getRevision(),
      ...(whole
        ? readSnapshot(log, cursor)
        : {whole, changes: seen.changes.map(encodeChange)}),
    },
  ];
}

/**
 * Returns the full content, or nothing for a member that is up to date with the
 * same store revision.
 */
function readSnapshot(
  log: ChangeLog,
  cursor: RelayCursor,
): Pick<RelayFeed, 'whole' | 'changes'> {
  const same = cursor.revision !== 0 && cursor.revision === log.getRevision();
  if (same) return {whole: false, changes: []};
  return {whole: true, changes: log.getEntries().map(encodeEntry)};
}

function encodeChange({key, revision, entry}: StoreChange): RelayChange {
  if (entry) return encodeEntry(entry);
  return {key, revision, deleted: true, value: '', leaseId: ''};
}

function encodeEntry(entry: StoreEntry): RelayChange {
  const {key, version, value, leaseId = ''} = entry;
  return {key, revision: version, deleted: false, value, leaseId};
}
