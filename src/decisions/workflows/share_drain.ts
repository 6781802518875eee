/** Accepted work of an organisation in one pool. */
export interface Backlog {
  readonly name: string;
  readonly weight: number;
  /** Work in thousandths of a processor times ms. */
  readonly work: number;
  /** Thousandths of a processor that it may use; 0 for no limit. */
  readonly limit: number;
}

/** Smallest weight; that of organisations that are no longer configured. */
const MIN_WEIGHT = 0.001;

/**
 * Returns the time in ms until the accepted work of each organisation is done
 * if each gets its share of a pool.
 *
 * Load: the small caller is refused for the large one's backlog. Its own work
 * is done in its share, while the large one's backlog lasts.
 *
 * @param backlogs accepted work by organisation
 * @param cpuMillis thousandths of a processor of the pool
 */
export function getDrainTimes(
  backlogs: readonly Backlog[],
  cpuMillis: number,
): ReadonlyMap<string, number> {
  const times = new Map<string, number>();
  let open = backlogs.filter(({work}) => work > 0);
  const left = new Map(open.map(({name, work}) => [name, work]));
  let passed = 0;
  while (open.length > 0) {
    const rates = getRates(open, Math.max(1, cpuMillis));
    const step = Math.min(
      ...open.map(({name}) => (left.get(name) ?? 0) / (rates.get(name) ?? 1)),
    );
    passed += step;
    for (const {name} of open) {
      left.set(name, (left.get(name) ?? 0) - step * (rates.get(name) ?? 0));
    }
    const done = open.filter(({name}) => (left.get(name) ?? 0) < 1);
    // Rounding must not keep the loop from ending.
    const ended = done.length > 0 ? done : open;
    for (const {name} of ended) times.set(name, passed);
    open = open.filter(each => !ended.includes(each));
  }
  return times;
}

/** Returns the weighted max-min shares of a pool, within each one's limit. */
function getRates(
  backlogs: readonly Backlog[],
  cpuMillis: number,
): ReadonlyMap<string, number> {
  const rates = new Map<string, number>();
  let room = cpuMillis;
  let open = [...backlogs];
  while (open.length > 0) {
    const sum = open.reduce((total, each) => total + getWeight(each), 0);
    const level = room / sum;
    const limited = open.filter(
      each => each.limit > 0 && each.limit < level * getWeight(each),
    );
    for (const each of limited) {
      rates.set(each.name, each.limit);
      room -= each.limit;
    }
    if (limited.length === 0) {
      for (const each of open) {
        rates.set(each.name, Math.max(1, level * getWeight(each)));
      }
      break;
    }
    open = open.filter(each => !limited.includes(each));
  }
  return rates;
}

function getWeight({weight}: Backlog): number {
  return Math.max(weight, MIN_WEIGHT);
}
