/** A run that is a member of a gang. */
export interface GangMember {
  /** All members are present: the work begins. */
  readonly begin: () => void;
  /** The others did not come in time. */
  readonly giveUp: () => void;
  /** Another member has ended. */
  readonly endWith: (done: boolean) => void;
}

/** Runs of a stand-in fleet that work only together. */
export interface Gangs {
  /** Adds a run; it begins once as many as the gang's size are present. */
  join(gang: string, size: number, member: GangMember): void;
  /** A member has ended, and all others end with it. */
  leave(gang: string, member: GangMember, done: boolean): void;
}

interface Gang {
  readonly members: Set<GangMember>;
  timer: NodeJS.Timeout | undefined;
}

/** Time in ms that members wait for the others: the users' bound. */
const WAIT_MS = 3_000;

/** Creates the gangs of a fleet. */
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
        WAIT_MS,
      );
    },
    leave(name, member, done) {
      gangs.get(name)?.members.delete(member);
      endAll(name, each => each.endWith(done));
    },
  };
}
