/**
 * Runs an asynchronous function for each item with bounded concurrency.
 *
 * @param items the items, processed in order
 * @param limit maximum number of concurrent calls
 * @param run the function to call for each item
 */
export async function runBounded<T>(
  items: readonly T[],
  limit: number,
  run: (item: T) => Promise<void>,
): Promise<void> {
  let next = 0;
  const runNextItems = async () => {
    while (next < items.length) {
      const item = items[next];
      next += 1;
      await run(item);
    }
  };
  const concurrency = Math.min(limit, items.length);
  await Promise.all(Array.from({length: concurrency}, runNextItems));
}
