import {
  ConfigurationEvent,
  ConfigurationEventKind,
} from './configuration_event';
import {ControlRule, ControlViolation} from './control_violation';

/** What a history of revisions is checked against. */
export interface ConfigurationCheck {
  /** Members that must have every accepted revision in force at the end. */
  readonly members: readonly string[];
}

/**
 * Checks that accepted revisions came into force everywhere and never reverted.
 *
 * @param events events of all members, in the order of time
 * @param check what must hold at the end
 * @returns every break of a rule
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
    if (kind !== ConfigurationEventKind.InForce) continue;
    const instance = `${memberId}/${incarnation}`;
    const previous = highest.get(instance) ?? 0;
    highest.set(instance, Math.max(previous, revision));
    if (revision >= previous) continue;
    const message = `${memberId} at ${at}: ${revision} after ${previous}`;
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
      const message = `revision ${revision}: ${firstOperation} and ${operationId}`;
      violations.push({rule: ControlRule.OneChangePerRevision, message});
    }
    if (firstRevision !== revision) {
      const message = `${operationId}: revisions ${firstRevision} and ${revision}`;
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
          event.kind === ConfigurationEventKind.InForce &&
          event.memberId === memberId,
      )
      .at(-1);
    if ((last?.revision ?? 0) >= highest) return [];
    const message = `${memberId} has ${last?.revision ?? 0}, not ${highest}`;
    return [{rule: ControlRule.ActivatedEverywhere, message}];
  });
}
