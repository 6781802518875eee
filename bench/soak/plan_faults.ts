import {BOUNDS} from './bounds';
import {Fault, FaultKind, LinkKind, PLANNED_KINDS} from './fault';
import {Random} from './random';

const LINK_FAULTS = [
  FaultKind.Delay,
  FaultKind.Reset,
  FaultKind.CutRequests,
  FaultKind.CutAnswers,
  FaultKind.BadAnswers,
  FaultKind.Silence,
];
const SIGNALS = [
  FaultKind.Terminate,
  FaultKind.Kill,
  FaultKind.Freeze,
  FaultKind.Reload,
];
const STARTS = [
  FaultKind.SignalAtStart,
  FaultKind.SettingsAtStart,
  FaultKind.StartAway,
  FaultKind.Overlap,
  FaultKind.Output,
];
const STRANGERS = [
  FaultKind.ForeignEntries,
  FaultKind.ForeignEntries,
  FaultKind.BadCallers,
  FaultKind.BadAnswers,
];
const OTHER_FAULTS = [
  FaultKind.SlowStore,
  FaultKind.LostWrites,
  FaultKind.TurnedAway,
  FaultKind.DroppedHistory,
  FaultKind.RevokedLease,
  FaultKind.HostCrash,
  FaultKind.HostDrain,
  FaultKind.HostHang,
  FaultKind.HostErrors,
  FaultKind.LateOrders,
  FaultKind.AddEntry,
  FaultKind.Settings,
];
/** Links whose far end answers with other bytes. */
const ANSWERING_LINKS = [LinkKind.Hosts, LinkKind.Machines, LinkKind.Store];
const LINKS = Object.values(LinkKind);
/** Number of hosts that restart during a fault of the store. */
const RESTARTS = 4;
const FIRST_AT_MS = 1_500;
/** Duration of a storm, in which faults overlap. */
const STORM_MS = 5_000;
/** Share of faults that hit all targets. */
const WIDE_SHARE = 0.25;
const CALM_MS = 4_500;
const MAX_TARGET = 1_000;

/**
 * Draws a list of faults: storms of overlapping faults alternate with planned
 * work during calm, which must disturb nobody.
 *
 * @param random random choices
 * @param durationMs time within which all faults start
 */
export function planFaults(
  random: Random,
  durationMs: number,
): readonly Fault[] {
  const faults: Fault[] = [];
  let atMs = FIRST_AT_MS;
  while (atMs < durationMs) {
    const planned = drawFault(random, random.pick([...PLANNED_KINDS]), atMs);
    faults.push(planned);
    atMs += random.between(500, 2_500);
    if (planned.kind === FaultKind.HostDrain) {
      atMs += BOUNDS.drainMs + planned.forMs;
    }
    if (atMs >= durationMs) break;
    const stormMs = Math.min(STORM_MS, durationMs - atMs);
    for (let count = random.between(2, 6); count > 0; count -= 1) {
      const startMs = atMs + random.between(0, stormMs);
      const fault = drawFault(random, drawKind(random), startMs);
      faults.push(fault);
      // A second signal arrives before the first has had its effect.
      if (SIGNALS.includes(fault.kind) && random.chance(0.4)) {
        const secondMs = startMs + random.between(20, 900);
        const second = drawFault(random, random.pick(SIGNALS), secondMs);
        faults.push({...second, target: fault.target, wide: fault.wide});
      }
    }
    const endMs = Math.max(...faults.map(fault => fault.atMs + fault.forMs));
    atMs = endMs + BOUNDS.contactMs + random.between(500, 3_000);
  }
  const restarts = drawRestarts(random, faults);
  return [...faults, ...restarts].sort((a, b) => a.atMs - b.atMs);
}

/** Draws hosts that restart while the store can't confirm their ends. */
function drawRestarts(
  random: Random,
  faults: readonly Fault[],
): readonly Fault[] {
  const outages = faults.filter(
    ({kind, link}) =>
      link === LinkKind.Store ||
      kind === FaultKind.SlowStore ||
      kind === FaultKind.TurnedAway,
  );
  return outages.flatMap(({atMs, forMs}) =>
    Array.from({length: RESTARTS}, () => {
      const restartMs = atMs + random.between(0, forMs);
      return drawFault(random, FaultKind.HostRestart, restartMs);
    }),
  );
}

/** Draws a list of planned work that leaves time for all checks. */
export function planCalm(random: Random): readonly Fault[] {
  return [drawFault(random, FaultKind.Reload, CALM_MS)];
}

function drawKind(random: Random): FaultKind {
  const group = random.pick([
    LINK_FAULTS,
    LINK_FAULTS,
    SIGNALS,
    OTHER_FAULTS,
    OTHER_FAULTS,
    STARTS,
    STRANGERS,
    STRANGERS,
    [FaultKind.Configure, FaultKind.Grow],
  ]);
  return random.pick(group);
}

/** Draws a fault of a kind. */
export function drawFault(
  random: Random,
  kind: FaultKind,
  atMs: number,
): Fault {
  return {
    kind,
    atMs,
    forMs: random.between(200, 4_500),
    target: random.between(0, MAX_TARGET),
    ...(LINK_FAULTS.includes(kind) ? {link: drawLink(random, kind)} : {}),
    wide: random.chance(WIDE_SHARE),
    amount: drawAmount(random, kind),
  };
}

function drawLink(random: Random, kind: FaultKind): LinkKind {
  return random.pick(kind === FaultKind.BadAnswers ? ANSWERING_LINKS : LINKS);
}

function drawAmount(random: Random, kind: FaultKind): number {
  if (kind === FaultKind.LostWrites) return random.between(10, 50);
  if (kind === FaultKind.LateOrders) return random.between(5, 40);
  return random.between(50, random.chance(0.3) ? 2_500 : 500);
}
