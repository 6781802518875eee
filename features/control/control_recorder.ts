import {
  ConfigurationEvent,
  ConfigurationEventKind,
  LeadershipEvent,
} from '../../src/history/control';
import {Configuration} from '../../src/types';
import {MemoryEntryHost} from '../support/memory_site';

/**
 * Records the leadership of pools and the active configuration revision of each
 * member.
 */
export interface ControlRecorder {
  readonly leadership: LeadershipEvent[];
  readonly configuration: ConfigurationEvent[];
  /** Starts recording the events of an entry host. */
  startRecording(entry: MemoryEntryHost): void;
  /**
   * Records that an entry host crashed, which ends its leadership of all pools.
   */
  recordCrash(entry: MemoryEntryHost): void;
  /** Records that an operator's change was reported as accepted. */
  recordAccepted(entry: MemoryEntryHost, accepted: Configuration): void;
}

/** Creates a recorder without events. */
export function createControlRecorder(): ControlRecorder {
  const leadership: LeadershipEvent[] = [];
  const configuration: ConfigurationEvent[] = [];
  const leadingTerms = new Map<MemoryEntryHost, ReadonlyMap<string, number>>();

  function recordLeadership(
    entry: MemoryEntryHost,
    next: ReadonlyMap<string, number>,
  ) {
    const before = leadingTerms.get(entry) ?? new Map<string, number>();
    const at = performance.now();
    const memberId = entry.member.id;
    for (const [pool, term] of before) {
      if (next.get(pool) === term) continue;
      leadership.push({at, memberId, pool, term, leads: false});
    }
    for (const [pool, term] of next) {
      if (before.get(pool) === term) continue;
      leadership.push({at, memberId, pool, term, leads: true});
    }
    leadingTerms.set(entry, next);
  }

  function recordRevision(
    entry: MemoryEntryHost,
    kind: ConfigurationEventKind,
    {revision, operationId}: Configuration,
  ): void {
    configuration.push({
      at: performance.now(),
      kind,
      memberId: entry.member.id,
      incarnation: entry.core.membership.incarnation,
      revision,
      operationId,
    });
  }

  return {
    leadership,
    configuration,
    startRecording(entry) {
      const {core} = entry;
      recordLeadership(entry, core.leadership.ledPools.get());
      core.leadership.ledPools.onChange(next => recordLeadership(entry, next));
      const active = core.configuration.current.get();
      if (active)
        recordRevision(entry, ConfigurationEventKind.Activated, active);
      core.configuration.current.onChange(changed => {
        if (changed)
          recordRevision(entry, ConfigurationEventKind.Activated, changed);
      });
    },
    recordCrash: entry => recordLeadership(entry, new Map()),
    recordAccepted: (entry, accepted) =>
      recordRevision(entry, ConfigurationEventKind.Accepted, accepted),
  };
}
