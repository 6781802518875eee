import {
  ConfigurationEvent,
  ConfigurationEventKind,
} from './configuration_event';
import {ControlRule, ControlViolation} from './control_violation';

/** Conditions that a history of configuration revisions is checked against. */
export interface ConfigurationCheck {
  /**
   * Ids of the members at which the latest accepted revision must be active at
   * the end.
   */
  readonly members: readonly string[];
}

/**
 * Checks that accepted revisions became active everywhere, never reverted and
 * correspond one-to-one to changes.
 *
 * @param events events of all members, in chronological order
 * @param check conditions at the end of the history
 * @returns all violations
 */
export function checkConfiguration(
  events: readonly ConfigurationEvent[],
  check: ConfigurationCheck,
): readonly ControlViolation[] {
  return [
    ...findReverts(events),
    ...findConflicts(events),
    ...findOutdatedMembers(events, check),
  ];
}

function findReverts(
  events: readonly ConfigurationEvent[],
): readonly ControlViolation[] {
  const highest = new Map<string, number>();
  const violations: ControlViolation[] = [];
  for (const {at, kind, memberId, incarnation, revision} of events) {
    if (kind !== ConfigurationEventKind.Activated) continue;
    const memberIncarnation = `${memberId}/${incarnation}`;
    const previous = highest.get(memberIncarnation) ?? 0;
    highest.set(memberIncarnation, Math.max(previous, revision));
    if (revision >= previous) continue;
    const message = `${memberId} at ${at} ms: revision ${revision} active after ${previous}`;
    violations.push({rule: ControlRule.NoRevert, message});
  }
  return violations;
}

function findConflicts(
  events: readonly ConfigurationEvent[],
): readonly ControlViolation[] {
  const operations = new Map<number, string>();
  const revisions = new Map<string, number>();
  const violations: ControlViolation[] = [];
  for (const {revision, operationId} of events) {
    const firstOperation = operations.get(revision) ?? operationId;
    const firstRevision = revisions.get(operationId) ?? revision;
    operations.set(revision, firstOperation);
    revisions.set(operationId, firstRevision);
    if (firstOperation !== operationId) {
      const message = `revision ${revision} was assigned to ${firstOperation} and ${operationId}`;
      violations.push({rule: ControlRule.OneChangePerRevision, message});
    }
    if (firstRevision !== revision) {
      const message = `${operationId} was accepted as revisions ${firstRevision} and ${revision}`;
      violations.push({rule: ControlRule.OneRevisionPerChange, message});
    }
  }
  return violations;
}

function findOutdatedMembers(
  events: readonly ConfigurationEvent[],
  {members}: ConfigurationCheck,
): readonly ControlViolation[] {
  const accepted = events
    .filter(({kind}) => kind === ConfigurationEventKind.Accepted)
    .map(({revision}) => revision);
  const highest = Math.max(0, ...accepted);
  return members.flatMap(memberId => {
    const last = events
      .filter(
        event =>
          event.kind === ConfigurationEventKind.Activated &&
          event.memberId === memberId,
      )
      .at(-1);
    if ((last?.revision ?? 0) >= highest) return [];
    const message = `${memberId} has revision ${last?.revision ?? 0} instead of ${highest}`;
    return [{rule: ControlRule.ActivatedEverywhere, message}];
  });
}
