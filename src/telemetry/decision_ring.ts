import {Decision} from '../types';

/** Bounded buffer of the most recent decisions, oldest first. */
export interface DecisionRing {
  add(decision: Decision): void;
  /**
   * Returns the kept decisions about a subject, or all of them if none is
   * given.
   */
  find(subject?: string): readonly Decision[];
}

/**
 * Creates an empty buffer of decisions.
 *
 * @param limit maximum number of decisions that are kept
 */
export function createDecisionRing(limit: number): DecisionRing {
  let kept: Decision[] = [];
  return {
    add(decision) {
      kept.push(decision);
      if (kept.length > limit * 2) kept = kept.slice(-limit);
    },
    find(subject) {
      const recent = kept.slice(-limit);
      if (subject === undefined) return recent;
      return recent.filter(decision => decision.subject === subject);
    },
  };
}
