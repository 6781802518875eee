/** What decides whether long work may take free slots now; times in ms. */
export interface GateInputs {
  /** Slots that interactive work lacks now. */
  readonly shortage: number;
  /** Time since interactive work last lacked slots. */
  readonly sinceShortageMs: number;
  /** Slots that long work holds. */
  readonly held: number;
  /** Slots that long work keeps under contention. */
  readonly kept: number;
}

/** Calm after a shortage before long work takes slots beyond its minimum. */
const CALM_MS = 1_000;

/**
 * Returns how many slots long work may take now.
 *
 * @param inputs shortage of interactive work and slots of long work
 */
export function countPlaceable(inputs: GateInputs): number {
  const {shortage, sinceShortageMs, held, kept} = inputs;
  const calm = shortage === 0 && sinceShortageMs >= CALM_MS;
  return calm ? Infinity : Math.max(0, kept - held);
}
