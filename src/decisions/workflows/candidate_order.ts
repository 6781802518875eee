import {compareUrgency} from './order_workflows';
import {PlacementCandidate, PlacementPass} from './placement_pass';

/** Order in which the candidates of a pass are placed. */
export interface CandidateOrder {
  /** Returns the next candidate; undefined after the last. */
  next(): PlacementCandidate | undefined;
}

/** Creates the order of a pass: the most urgent candidate first. */
export function createCandidateOrder({
  candidates,
}: PlacementPass): CandidateOrder {
  const sorted = [...candidates].sort((a, b) =>
    compareUrgency(a.urgency, b.urgency),
  );
  let position = 0;

  return {
    next() {
      position += 1;
      return sorted[position - 1];
    },
  };
}
