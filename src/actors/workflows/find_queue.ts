import {FleetConfiguration, Queue} from '../../types/workflow';

/**
 * Returns the queue of the given authority whose prefix is the longest match
 * for the path.
 */
export function findQueue(
  {queues}: FleetConfiguration,
  authority: string,
  path: string,
): Queue | undefined {
  let found: Queue | undefined;
  for (const queue of queues) {
    if (queue.authority !== authority || !path.startsWith(queue.prefix)) {
      continue;
    }
    if (!found || queue.prefix.length > found.prefix.length) found = queue;
  }
  return found;
}
