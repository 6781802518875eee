import {ClaimEvent} from './claim_event';
import {ClaimEventKind} from './claim_event_kind';
import {ClaimRecord} from './claim_record';
import {Generation} from './generation';

/**
 * Applies one event to the records of a partition.
 *
 * A finish or release is ignored unless its request holds the claim, so that a
 * late report cannot affect a later claim of the same key.
 *
 * @param records records by key, modified in place
 * @param event the event
 * @param generation number of the generation that contains the event
 */
export function applyEvent(
  records: Map<string, ClaimRecord>,
  event: ClaimEvent,
  generation: number,
): void {
  const {kind, key, requestId} = event;
  if (kind === ClaimEventKind.Claim) {
    const fingerprint = event.fingerprint ?? '';
    records.set(key, {requestId, fingerprint, generation});
    return;
  }
  const known = records.get(key);
  if (known?.requestId !== requestId || known.outcome) return;
  if (kind === ClaimEventKind.Release) {
    records.delete(key);
    return;
  }
  const {outcome, answer} = event;
  records.set(key, {...known, outcome, answer, generation});
}

/**
 * Rebuilds the records of a partition by replaying its generations.
 *
 * @param generations its generations, oldest first
 */
export function replayGenerations(
  generations: readonly Generation[],
): Map<string, ClaimRecord> {
  const records = new Map<string, ClaimRecord>();
  for (const {number, events} of generations) {
    for (const event of events) applyEvent(records, event, number);
  }
  return records;
}
