/** A run that is a member of a gang. */
export interface GangMember {
  /** Called once all members have started. */
  readonly begin: () => void;
  /** Called if the other members did not start in time. */
  readonly giveUp: () => void;
  /** Called when another member has ended; `done` is whether it succeeded. */
  readonly endWith: (done: boolean) => void;
}

/**
 * Gangs of runs: a run works only while all members of its gang are running.
 */
export interface Gangs {
  /** Adds a run to a gang, which begins to work once it has `size` members. */
  join(gang: string, size: number, member: GangMember): void;
  /** Removes a member that has ended and ends all other members. */
  leave(gang: string, member: GangMember, done: boolean): void;
}

interface Gang {
  readonly members: Set<GangMember>;
  timer: NodeJS.Timeout | undefined;
}

/**
 * Time in ms that members wait for the others, as specified by the external
 * platform.
 */
const GANG_TIMEOUT_MS = 3_000;

/** Creates the gangs of a fleet; initially there are none. */
export function createGangs(): Gangs {
  const gangs = new Map<string, Gang>();

  function endAll(name: string, end: (member: GangMember) => void): void {
    const gang = gangs.get(name);
    if (!gang) return;
    gangs.delete(name);
    clearTimeout(gang.timer);
    for (const member of gang.members) end(member);
  }

  return {
    join(name, size, member) {
      const gang = gangs.get(name) ?? {members: new Set(), timer: undefined};
      gangs.set(name, gang);
      gang.members.add(member);
      clearTimeout(gang.timer);
      if (gang.members.size >= size) {
        for (const each of gang.members) each.begin();
        return;
      }
      gang.timer = setTimeout(
        () => endAll(name, each => each.giveUp()),
        GANG_TIMEOUT_MS,
      );
    },
    leave(name, member, done) {
      gangs.get(name)?.members.delete(member);
      endAll(name, each => each.endWith(done));
    },
  };
}
