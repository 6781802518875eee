/** A worker's recent failures at one entry host. */
export interface FailureRecord {
  readonly hostId: string;
  /** Attempts that ended, at most a window's worth. */
  readonly samples: number;
  /** Share of failed attempts of late, 0 to 1. */
  readonly failureRatio: number;
  readonly ejected: boolean;
}

const MIN_SAMPLES = 5;
const EJECT_RATIO = 0.5;
/** Failure ratio of the other workers from which a failure is taken for the requests' own. */
const COMMON_RATIO = 0.3;

/**
 * Decides whether a worker should get no requests for a while.
 *
 * @param subject the worker
 * @param others the pool's other workers
 * @param allowed workers that may still be ejected within the pool's budget
 */
export function shouldEject(
  subject: FailureRecord,
  others: readonly FailureRecord[],
  allowed: number,
): boolean {
  if (subject.ejected || allowed <= 0) return false;
  if (subject.samples < MIN_SAMPLES) return false;
  if (subject.failureRatio < EJECT_RATIO) return false;
  const healthy = others.filter(record => !record.ejected);
  const known = healthy.filter(record => record.samples >= MIN_SAMPLES);
  if (known.length === 0) return true;
  const ratios = known.map(record => record.failureRatio).sort((a, b) => a - b);
  return ratios[Math.floor(ratios.length / 2)] < COMMON_RATIO;
}
