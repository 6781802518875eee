/** Inputs for deciding how many free slots long jobs may take. */
export interface GateInputs {
  /** Number of slots that interactive requests lack now. */
  readonly shortage: number;
  /** Time since interactive requests last lacked slots, in ms. */
  readonly sinceShortageMs: number;
  /** Number of slots that long jobs hold. */
  readonly held: number;
  /** Number of slots guaranteed to long jobs under contention. */
  readonly guaranteedSlots: number;
}

/**
 * Time in ms after a shortage before long jobs may take slots beyond their
 * guaranteed number.
 */
const QUIET_PERIOD_MS = 1_000;

/**
 * Returns the number of slots that long jobs may take now.
 *
 * @param inputs shortage of interactive requests and slots of long jobs
 */
export function countPlaceable(inputs: GateInputs): number {
  const {shortage, sinceShortageMs, held, guaranteedSlots: guaranteed} = inputs;
  const isQuiet = shortage === 0 && sinceShortageMs >= QUIET_PERIOD_MS;
  return isQuiet ? Infinity : Math.max(0, guaranteed - held);
}
