import {advance, pauseClock, resumeClock} from '../../features/support/clock';
import {
  MemorySite,
  configureSite,
  createMemorySite,
} from '../../features/support/memory_site';
import {createProfiles} from '../../src/stand_ins/site';
import {HostState} from '../../src/types';

/** Share of slots out of service, compared with a fixed reserve per pool. */
export interface BufferCost {
  readonly site: string;
  readonly slots: number;
  /**
   * Mean ratio of slots on healthy hosts that are out of service, over all
   * samples.
   */
  readonly ratio: number;
  /**
   * Ratio of hosts that a fixed reserve as large as each pool's budget keeps
   * idle.
   */
  readonly fixedReserveRatio: number;
}

const SAMPLE_COUNT = 30;
const SAMPLE_INTERVAL_MS = 2_000;

/**
 * Measures the slots of healthy hosts that are out of service.
 *
 * It is compared with a fixed reserve, which keeps as many hosts of each pool
 * idle as the pool's budget allows to be unavailable. Slots that the slot
 * ledger holds back on a host in service are not counted.
 */
export async function measureBuffer(
  siteName: string,
  seed: number,
): Promise<BufferCost> {
  pauseClock(seed);
  const site = createMemorySite({entries: 2, siteName});
  try {
    await configureSite(site);
    const slots = countSlots(site, () => true);
    let activeSlots = 0;
    for (let i = 0; i < SAMPLE_COUNT; i += 1) {
      await advance(SAMPLE_INTERVAL_MS);
      activeSlots += countSlots(site, state => state === HostState.Active);
    }
    return {
      site: siteName,
      slots,
      ratio: 1 - activeSlots / SAMPLE_COUNT / slots,
      fixedReserveRatio: getFixedReserveRatio(site),
    };
  } finally {
    site.dispose();
    resumeClock();
  }
}

function countSlots(
  site: MemorySite,
  isCounted: (state: HostState) => boolean,
): number {
  const {view} = site.entries[0].core;
  let slots = 0;
  for (const {name} of site.site.pools) {
    for (const {host, state} of view.getPoolHosts(name)) {
      if (isCounted(state)) slots += host.slots;
    }
  }
  return slots;
}

function getFixedReserveRatio({site}: MemorySite): number {
  const profiles = createProfiles(site);
  const hosts = profiles.reduce((sum, profile) => sum + profile.hosts, 0);
  const reserved = profiles.reduce((sum, p) => sum + p.maxUnavailable, 0);
  return reserved / hosts;
}
