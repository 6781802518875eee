/**
 * Runs a task for each item, a bounded number at once.
 *
 * @param items what to run the task for
 * @param limit tasks at once
 * @param run the task
 */
export async function runBounded<T>(
  items: readonly T[],
  limit: number,
  run: (item: T) => Promise<void>,
): Promise<void> {
  let next = 0;
  const lane = async () => {
    while (next < items.length) {
      const item = items[next];
      next += 1;
      await run(item);
    }
  };
  const lanes = Math.min(limit, items.length);
  await Promise.all(Array.from({length: lanes}, lane));
}
