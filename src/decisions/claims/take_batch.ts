import {ClaimEvent} from './claim_event';

/**
 * Length of the JSON text of one commit's events above which no event is added;
 * it limits the size of the stored value.
 */
const MAX_BATCH_CHARACTERS = 400_000;

/**
 * Returns the events of the next commit, from the front of a queue.
 *
 * @param queue events in order
 * @returns at least one event unless the queue is empty, limited by the size of
 *     a stored value
 */
export function takeBatch(queue: readonly ClaimEvent[]): readonly ClaimEvent[] {
  let length = 0;
  const end = queue.findIndex(event => {
    const fits = length === 0 || length < MAX_BATCH_CHARACTERS;
    length += JSON.stringify(event).length;
    return !fits;
  });
  return end < 0 ? queue : queue.slice(0, end);
}
