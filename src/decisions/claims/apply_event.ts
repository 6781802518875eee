import {ClaimEvent} from './claim_event';
import {ClaimEventKind} from './claim_event_kind';
import {ClaimRecord} from './claim_record';
import {Generation} from './generation';

/**
 * Applies one event to the records of a partition.
 *
 * An end counts only for the request that holds the claim, so a report that
 * comes late can't touch a later claim of the same key.
 *
 * @param records records by key, changed in place
 * @param event the event
 * @param generation number of the generation that holds it
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
 * Builds the records of a partition.
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
