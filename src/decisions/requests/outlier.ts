/** Recent failures of a worker's attempts, as seen by one entry host. */
export interface FailureRecord {
  readonly hostId: string;
  /** Number of ended attempts in the window. */
  readonly samples: number;
  /** Recent fraction of failed attempts. */
  readonly failureRatio: number;
  /** Whether the worker is excluded from new requests. */
  readonly ejected: boolean;
}

/** Minimum number of ended attempts to evaluate a worker. */
const MIN_SAMPLES = 5;
/** Failure ratio from which a worker is ejected. */
const EJECT_RATIO = 0.5;
/**
 * Median failure ratio of the other workers from which the failures are
 * attributed to the requests.
 */
const COMMON_RATIO = 0.3;

/**
 * Decides whether a worker is ejected, that is, temporarily gets no requests.
 *
 * @param subject record of the worker
 * @param others records of the pool's other workers
 * @param allowed number of workers that may still be ejected within the pool's
 *     budget
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
