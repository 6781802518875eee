/** Returns the key of a run among the runs of several tasks. */
export function getRunKey(task: string, run: number): string {
  return `${task}/${run}`;
}
