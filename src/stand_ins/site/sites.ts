import {Host, Profile, Rank} from '../../types';
import {Site, SitePool} from './site';

const SLOTS = 8;
const CONNECTIONS = 64;
const PROCESSORS = 16;
const MEMORY_MB = 32_768;
const WORKERS_PER_RACK = 4;
const DAY_MS = 86_400_000;

/** All example sites; the first is the default. */
export const SITES: readonly Site[] = [
  {
    name: 'orbitica',
    availabilityZones: ['zone-a', 'zone-b', 'zone-c', 'zone-d'],
    pools: [
      {name: 'planner-api', workers: 8, spare: false},
      {name: 'dish-desk', workers: 8, spare: false},
      {name: 'sky-lookup', workers: 8, spare: false},
      {name: 'ops-console', workers: 8, spare: false},
      {name: 'backoffice', workers: 8, spare: true},
    ],
  },
  {
    name: 'fraser-basin',
    availabilityZones: ['zone-a', 'zone-b', 'zone-c'],
    pools: [
      {name: 'preview-desk', workers: 6, spare: false},
      {name: 'gate-desk', workers: 6, spare: false},
      {name: 'defect-desk', workers: 8, spare: false},
      {name: 'cert-desk', workers: 9, spare: false},
      {name: 'records-desk', workers: 6, spare: true},
    ],
  },
];

/** Command-line options of commands that simulate a site. */
export const siteOptions = {
  site: {
    choices: SITES.map(site => site.name),
    default: SITES[0].name,
    describe: 'site whose sizes are used',
  },
} as const;

/** Returns the site with the given name, or the first site if none has it. */
export function findSite(name: string): Site {
  return SITES.find(site => site.name === name) ?? SITES[0];
}

/**
 * Creates the host of one worker of a site. Each rack has four workers and lies
 * in one availability zone.
 *
 * @param site the site
 * @param pool the worker's pool
 * @param index index of the worker in its pool, from 0
 * @param address IP address that it listens on
 * @param port TCP port that it listens on
 */
export function createHost(
  site: Site,
  pool: SitePool,
  index: number,
  address: string,
  port: number,
): Host {
  const before = site.pools.slice(0, site.pools.indexOf(pool));
  const first = before.reduce((sum, known) => sum + known.workers, 0);
  const rack = Math.floor((first + index) / WORKERS_PER_RACK);
  const zones = site.availabilityZones;
  return {
    id: `${pool.name}-${index + 1}`,
    address,
    port,
    rack: `rack-${rack + 1}`,
    availabilityZone: zones[rack % zones.length],
    processors: PROCESSORS,
    memoryMb: MEMORY_MB,
    accelerators: 0,
    slots: SLOTS,
    connections: CONNECTIONS,
    initialPool: pool.name,
    leaving: false,
  };
}

/** Returns a profile for each pool of a site; two hosts may be unavailable. */
export function createProfiles(site: Site): readonly Profile[] {
  return site.pools.map(pool => ({
    name: pool.name,
    pool: pool.name,
    services: [pool.name],
    hosts: pool.workers,
    maxUnavailable: 2,
    rank: pool.spare ? Rank.Low : Rank.Normal,
    deadlineMs: 2_000,
    queueLimit: 1_000,
    preemptionMs: 1_000,
    idempotent: true,
    teamQuotas: {},
    longWorkMinimum: 0.1,
    maintenanceIntervalMs: 14 * DAY_MS,
    spare: pool.spare,
  }));
}
