/**
 * Limits the number of free slots that a borrower may take to its proportional
 * part, so that borrowers that report early do not take all of them.
 *
 * @param free number of slots that no borrower holds
 * @param deficits number of slots that each borrower lacks to its fair share
 * @param index index of the requesting borrower
 * @returns number of slots that it may take
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
