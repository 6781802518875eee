import {Decision} from '../types';

/** The most recent decisions, oldest first. */
export interface DecisionRing {
  add(decision: Decision): void;
  /** Returns the kept decisions about a subject, or all of them. */
  find(subject?: string): readonly Decision[];
}

/**
 * Creates a ring that keeps a bounded number of decisions.
 *
 * @param limit decisions that are kept
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
