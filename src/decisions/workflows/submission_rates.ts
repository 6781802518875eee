import {Organisation} from '../../types/workflow';

/** The part of an organisation that says what it is owed. */
export type Owed = Pick<Organisation, 'name' | 'weight'>;

/** Submissions of each organisation against the rate that it is owed. */
export interface SubmissionRates {
  /**
   * Counts an accepted submission and returns whether it was within the
   * organisation's rate.
   *
   * @param at Unix time in ms of its acceptance
   */
  count(organisation: Owed, at: number): boolean;
  /**
   * Returns the time in ms until a submission would be within the
   * organisation's rate; 0 if it would be now.
   */
  getExcessMs(organisation: Owed, unixNow: number): number;
}

/**
 * Time in ms by which an organisation may be ahead of its rate: as callers send
 * in bursts, its rate is that of some seconds. Bounds its credit for idling.
 */
const BURST_MS = 5_000;

/**
 * Creates the rates of a term without any submission.
 *
 * Load: one caller sends many times its usual. What it sends within its rate is
 * owed to it like to all others; what it sends beyond waits first and is
 * refused first.
 */
export function createSubmissionRates(): SubmissionRates {
  /** Unix times in ms at which what was accepted is used up, by name. */
  const paidUntil = new Map<string, number>();

  return {
    count({name, weight}, at) {
      const until = Math.max(at, paidUntil.get(name) ?? 0);
      if (weight <= 0 || until - at > BURST_MS) return false;
      paidUntil.set(name, until + 1_000 / weight);
      return true;
    },
    getExcessMs({name}, unixNow) {
      const until = paidUntil.get(name) ?? 0;
      return Math.max(0, until - unixNow - BURST_MS);
    },
  };
}
