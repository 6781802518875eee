import {
  ConfigurationEvent,
  ConfigurationEventKind,
  LeadershipEvent,
} from '../../src/history/control';
import {Configuration} from '../../src/types';
import {MemoryEntry} from '../support/memory_site';

/** Records who led when, and which revision was in force where. */
export interface ControlRecorder {
  readonly leadership: LeadershipEvent[];
  readonly configuration: ConfigurationEvent[];
  /** Starts recording one entry host. */
  follow(entry: MemoryEntry): void;
  /** Notes that an entry host ended without a word. */
  noteCrash(entry: MemoryEntry): void;
  /** Notes that an operator was told of an accepted change. */
  noteAccepted(entry: MemoryEntry, accepted: Configuration): void;
}

/** Creates an empty recorder. */
export function createControlRecorder(): ControlRecorder {
  const leadership: LeadershipEvent[] = [];
  const configuration: ConfigurationEvent[] = [];
  const led = new Map<MemoryEntry, ReadonlyMap<string, number>>();

  function noteLed(entry: MemoryEntry, next: ReadonlyMap<string, number>) {
    const before = led.get(entry) ?? new Map<string, number>();
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
    led.set(entry, next);
  }

  function note(
    entry: MemoryEntry,
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
    follow(entry) {
      const {core} = entry;
      noteLed(entry, core.leadership.led.get());
      core.leadership.led.onChange(next => noteLed(entry, next));
      const held = core.configuration.current.get();
      if (held) note(entry, ConfigurationEventKind.InForce, held);
      core.configuration.current.onChange(seen => {
        if (seen) note(entry, ConfigurationEventKind.InForce, seen);
      });
    },
    noteCrash: entry => noteLed(entry, new Map()),
    noteAccepted: (entry, accepted) =>
      note(entry, ConfigurationEventKind.Accepted, accepted),
  };
}
