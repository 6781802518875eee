import {ControlRule, ControlViolation} from './control_violation';
import {LeadershipEvent} from './leadership_event';

/**
 * Checks who led when under which term.
 *
 * @param events events of all members, in the order of time
 * @returns every break of a rule
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
      const message = `${context}: ${[...leaders].join(', ')} leads too`;
      violations.push({rule: ControlRule.OneLeaderAtATime, message});
    }
    if (holder !== undefined && holder !== memberId) {
      const message = `${context}: the term is ${holder}'s`;
      violations.push({rule: ControlRule.OneLeaderPerTerm, message});
    }
    if (term <= highest) {
      const message = `${context}: term ${highest} came before`;
      violations.push({rule: ControlRule.TermsIncrease, message});
    }
    leaders.add(memberId);
    holders.set(term, holder ?? memberId);
    highest = Math.max(highest, term);
  }
  return violations;
}
