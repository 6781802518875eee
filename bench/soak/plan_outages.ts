import {Fault, FaultKind, LinkKind} from './fault';
import {drawFault} from './plan_faults';
import {Random} from './random';

const OUTAGES = [
  FaultKind.Reset,
  FaultKind.Reset,
  FaultKind.CutAnswers,
  FaultKind.Silence,
  FaultKind.SlowStore,
  FaultKind.TurnedAway,
];
const FIRST_AT_MS = 1_500;
/** Maximum time in ms from the start of the first outage to the power cut. */
const SPAN_MS = 13_000;
/** Number of times that the lateness of orders changes. */
const LATE_ORDERS = 4;
/** Share of hosts that are drawn for an outage, some of them twice. */
const LAPSE_SHARE = 0.5;
const RESTART_SHARE = 0.7;

/**
 * Draws two outages of the store a few seconds apart with what may come
 * together with them: entries that lapse, hosts that restart, orders that
 * outlive them, a leader that is short of processor time, and a power cut of
 * all entry hosts at the end.
 *
 * @param random random choices
 * @param durationMs time within which all faults start; nothing is drawn if it
 *     is too short
 * @param hostCount number of hosts
 */
export function planOutages(
  random: Random,
  durationMs: number,
  hostCount: number,
): readonly Fault[] {
  const slackMs = durationMs - FIRST_AT_MS - SPAN_MS;
  if (slackMs < 0) return [];
  const atMs = FIRST_AT_MS + random.between(0, slackMs);
  const outages = [atMs, atMs + random.between(5_000, 7_000)].map(startMs => ({
    ...drawFault(random, random.pick(OUTAGES), startMs),
    link: LinkKind.Store,
    wide: true,
    forMs: random.between(1_500, 4_500),
  }));
  const endMs = outages[1].atMs + outages[1].forMs;
  const cutMs = endMs + random.between(200, 1_500);
  const starve = drawFault(random, FaultKind.Starve, atMs);
  // Orders are carried out one to four seconds late.
  const late = Array.from({length: LATE_ORDERS}, () => ({
    ...drawFault(
      random,
      FaultKind.OutlivingOrders,
      random.between(atMs, endMs),
    ),
    forMs: random.between(2_000, 8_000),
    amount: random.between(2, 15),
  }));
  return [
    ...outages,
    ...outages.flatMap(each => drawLapses(random, each, hostCount)),
    ...late,
    {...starve, forMs: cutMs - atMs, wide: true},
    drawFault(random, FaultKind.PowerCut, cutMs),
  ];
}

/** Draws hosts whose entries lapse in an outage; most restart meanwhile. */
function drawLapses(
  random: Random,
  outage: Fault,
  hostCount: number,
): readonly Fault[] {
  return Array.from({length: Math.ceil(hostCount * LAPSE_SHARE)}).flatMap(
    () => {
      const atMs = outage.atMs + random.between(0, outage.forMs);
      const lapse = drawFault(random, FaultKind.LapsedEntry, atMs);
      const restartMs = atMs + random.between(0, lapse.forMs);
      const restart = drawFault(random, FaultKind.HostRestart, restartMs);
      const restarts = random.chance(RESTART_SHARE);
      return restarts ? [lapse, {...restart, target: lapse.target}] : lapse;
    },
  );
}
