import {Fault, FaultKind, LinkKind} from './fault';
import {drawFault} from './plan_faults';
import {Random} from './random';

const OUTAGES = [
  FaultKind.Reset,
  FaultKind.CutRequests,
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
/** Share of hosts whose entries lapse in an outage. */
const LAPSE_SHARE = 0.5;
/** Share of these hosts that restart meanwhile. */
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
  const firstMs = FIRST_AT_MS + random.between(0, slackMs);
  const first = drawOutage(random, firstMs);
  const second = drawOutage(random, firstMs + random.between(5_000, 7_000));
  const endMs = second.atMs + second.forMs;
  const starve = drawFault(random, FaultKind.Starve, firstMs);
  const cutMs = endMs + random.between(200, 1_500);
  return [
    first,
    second,
    {...starve, forMs: cutMs - firstMs, wide: true},
    ...[first, second].flatMap(each => drawLapses(random, each, hostCount)),
    ...drawLateOrders(random, firstMs, endMs),
    drawFault(random, FaultKind.PowerCut, cutMs),
  ];
}

function drawOutage(random: Random, atMs: number): Fault {
  const fault = drawFault(random, random.pick(OUTAGES), atMs);
  return {...fault, ...(fault.link ? {link: LinkKind.Store} : {}), wide: true};
}

/** Draws hosts whose entries lapse in an outage; most restart meanwhile. */
function drawLapses(
  random: Random,
  outage: Fault,
  hostCount: number,
): readonly Fault[] {
  const count = Math.ceil(hostCount * LAPSE_SHARE);
  return Array.from({length: count}).flatMap(() => {
    const atMs = outage.atMs + random.between(0, outage.forMs);
    const lapse = drawFault(random, FaultKind.LapsedEntry, atMs);
    if (!random.chance(RESTART_SHARE)) return lapse;
    const restartMs = atMs + random.between(0, lapse.forMs);
    const restart = drawFault(random, FaultKind.HostRestart, restartMs);
    return [lapse, {...restart, target: lapse.target}];
  });
}

/** Draws orders that are carried out one to four seconds late. */
function drawLateOrders(
  random: Random,
  fromMs: number,
  toMs: number,
): readonly Fault[] {
  return Array.from({length: LATE_ORDERS}, () => ({
    ...drawFault(
      random,
      FaultKind.OutlivingOrders,
      random.between(fromMs, toMs),
    ),
    forMs: random.between(2_000, 8_000),
    amount: random.between(2, 15),
  }));
}
