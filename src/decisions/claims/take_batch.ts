import {ClaimEvent} from './claim_event';

/** Length of the JSON text of one commit's events, which bounds the stored value. */
const BATCH_CHARACTERS = 400_000;

/**
 * Takes the events of the next commit from the front of a queue.
 *
 * @param queue events in order
 * @returns at least one event if there is one, and no more than a value may hold
 */
export function takeBatch(queue: readonly ClaimEvent[]): readonly ClaimEvent[] {
  let length = 0;
  const end = queue.findIndex(event => {
    const fits = length === 0 || length < BATCH_CHARACTERS;
    length += JSON.stringify(event).length;
    return !fits;
  });
  return end < 0 ? queue : queue.slice(0, end);
}
