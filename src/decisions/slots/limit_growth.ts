/**
 * Limits what a borrower takes of the free slots, so that those that report first leave the others their part.
 *
 * @param free slots that nobody holds
 * @param deficits slots that each borrower lacks to its share
 * @param index the borrower that asks
 * @returns slots that it may take
 */
export function limitGrowth(
  free: number,
  deficits: readonly number[],
  index: number,
): number {
  const total = deficits.reduce((sum, deficit) => sum + deficit, 0);
  if (total <= free) return deficits[index];
  return Math.ceil((free * deficits[index]) / total);
}
