import {ControlRule, ControlViolation} from './control_violation';
import {LeadershipEvent} from './leadership_event';

/**
 * Checks that each pool has at most one leader at a time and per term, and that
 * terms increase.
 *
 * @param events events of all members, in chronological order
 * @returns all violations
 */
export function checkLeadership(
  events: readonly LeadershipEvent[],
): readonly ControlViolation[] {
  const pools = [...new Set(events.map(({pool}) => pool))];
  return pools.flatMap(pool =>
    checkPool(events.filter(event => event.pool === pool)),
  );
}

function checkPool(
  events: readonly LeadershipEvent[],
): readonly ControlViolation[] {
  const violations: ControlViolation[] = [];
  const leaders = new Set<string>();
  const holders = new Map<number, string>();
  let highest = 0;
  for (const {at, memberId, pool, term, leads} of events) {
    if (!leads) {
      leaders.delete(memberId);
      continue;
    }
    const context = `${memberId} at ${at} in ${pool}, term ${term}`;
    const holder = holders.get(term);
    if (leaders.size > 0) {
      const message = `${context}: ${[...leaders].join(', ')} is also leading`;
      violations.push({rule: ControlRule.OneLeaderAtATime, message});
    }
    if (holder !== undefined && holder !== memberId) {
      const message = `${context}: the term belongs to ${holder}`;
      violations.push({rule: ControlRule.OneLeaderPerTerm, message});
    }
    if (term <= highest) {
      const message = `${context}: not higher than the earlier term ${highest}`;
      violations.push({rule: ControlRule.TermsIncrease, message});
    }
    leaders.add(memberId);
    holders.set(term, holder ?? memberId);
    highest = Math.max(highest, term);
  }
  return violations;
}
