import {Host, Job} from '../../types';
import {listFailedHosts} from './after_attempt';
import {Estimate} from './estimates';
import {orderJobs} from './order_jobs';

/** A host with its free capacity. */
export interface HostRoom {
  readonly host: Host;
  readonly slots: number;
  readonly processors: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  /**
   * Whether the host is about to be drained; it is used only if no other host
   * has room.
   */
  readonly avoided: boolean;
}

/** Assignment of a job to a host. */
export interface Placement {
  readonly job: Job;
  readonly hostId: string;
  readonly estimate: Estimate;
}

/** Inputs of one placement round. */
export interface PlacementInputs {
  /** Current time in ms since the epoch. */
  readonly now: number;
  readonly waiting: readonly Job[];
  readonly rooms: readonly HostRoom[];
  readonly estimate: (job: Job) => Estimate;
  /** Number of slots that the jobs of each team hold now. */
  readonly teamSlots: ReadonlyMap<string, number>;
  /** Fraction of the pool's slots that each team may hold under contention. */
  readonly teamQuotas: Readonly<Record<string, number>>;
  readonly totalSlots: number;
  /** Number of slots that jobs may take in this round. */
  readonly placeable: number;
  /** Maximum number of placements in this round. */
  readonly limit: number;
}

interface Room {
  readonly host: Host;
  readonly avoided: boolean;
  slots: number;
  processors: number;
  memoryMb: number;
  accelerators: number;
}

/**
 * Waiting time in ms after which a host is kept free for a job that fits
 * nowhere.
 */
const RESERVE_HOST_AFTER_MS = 30_000;

/**
 * Plans one placement round: which waiting jobs start on which hosts.
 *
 * Jobs are placed in the order of their latest start time, those of teams
 * within their quota first. Each job goes to the host with the best fit, away
 * from racks and availability zones that got jobs in this round.
 *
 * @param inputs waiting jobs, free capacity, estimates and quotas
 */
export function planPlacements(inputs: PlacementInputs): readonly Placement[] {
  const rooms: Room[] = inputs.rooms.map(room => ({...room}));
  const teamSlots = new Map(inputs.teamSlots);
  const slotsByDomain = new Map<string, number>();
  const placements: Placement[] = [];
  const overQuota: Job[] = [];
  let left = inputs.placeable;
  let free = rooms.reduce((sum, room) => sum + Math.max(0, room.slots), 0);
  let hasReservedHost = false;

  function tryPlace(job: Job): void {
    const estimate = inputs.estimate(job);
    const room = findRoom(job, estimate, rooms, slotsByDomain);
    if (!room) {
      reserveHost(job);
      return;
    }
    const {slots} = job.size;
    reserve(room, estimate);
    left -= slots;
    free -= slots;
    teamSlots.set(job.team, (teamSlots.get(job.team) ?? 0) + slots);
    for (const domain of getDomains(room.host)) {
      slotsByDomain.set(domain, (slotsByDomain.get(domain) ?? 0) + slots);
    }
    placements.push({job, hostId: room.host.id, estimate});
  }

  function reserveHost(job: Job): void {
    const waits = inputs.now - job.submittedAt > RESERVE_HOST_AFTER_MS;
    if (hasReservedHost || !waits || job.size.slots <= 1) return;
    const host = rooms
      .filter(room => room.host.slots >= job.size.slots)
      .sort((a, b) => b.slots - a.slots)[0];
    if (!host) return;
    hasReservedHost = true;
    free -= host.slots;
    host.slots = 0;
  }

  function isOverQuota(job: Job): boolean {
    const quota = inputs.teamQuotas[job.team];
    if (quota === undefined) return false;
    const held = (teamSlots.get(job.team) ?? 0) + job.size.slots;
    return held > quota * inputs.totalSlots;
  }

  for (const job of orderJobs(inputs.waiting, inputs.estimate, inputs.now)) {
    if (free <= 0 || placements.length >= inputs.limit) break;
    if (job.size.slots > left) continue;
    if (isOverQuota(job)) overQuota.push(job);
    else tryPlace(job);
  }
  for (const job of overQuota) {
    if (free <= 0 || placements.length >= inputs.limit) break;
    if (job.size.slots <= left) tryPlace(job);
  }
  return placements;
}

function findRoom(
  job: Job,
  estimate: Estimate,
  rooms: readonly Room[],
  slotsByDomain: ReadonlyMap<string, number>,
): Room | undefined {
  const failedOn = listFailedHosts(job);
  let best: Room | undefined;
  let bestScore = Infinity;
  for (const room of rooms) {
    if (!fits(estimate, room)) continue;
    const score = getScore(job, estimate, room, failedOn, slotsByDomain);
    if (score >= bestScore) continue;
    best = room;
    bestScore = score;
  }
  return best;
}

function fits({size}: Estimate, room: Room): boolean {
  return (
    size.slots <= room.slots &&
    Math.min(size.processors, room.host.processors) <= room.processors &&
    Math.min(size.memoryMb, room.host.memoryMb) <= room.memoryMb &&
    size.accelerators <= room.accelerators
  );
}

/** Penalties and weights of the score, in decreasing order of importance. */
const FAILED_HOST_PENALTY = 1_000_000;
const AVOIDED_HOST_PENALTY = 100_000;
const WASTED_ACCELERATOR_PENALTY = 10_000;
const DOMAIN_WEIGHT = 10;

/** Returns the score of a host for a job; the lowest is the best. */
function getScore(
  job: Job,
  estimate: Estimate,
  room: Room,
  failedOn: readonly string[],
  slotsByDomain: ReadonlyMap<string, number>,
): number {
  let score = 0;
  if (failedOn.includes(room.host.id)) score += FAILED_HOST_PENALTY;
  if (room.avoided) score += AVOIDED_HOST_PENALTY;
  if (estimate.size.accelerators === 0 && room.accelerators > 0) {
    score += WASTED_ACCELERATOR_PENALTY;
  }
  for (const domain of getDomains(room.host)) {
    score += (slotsByDomain.get(domain) ?? 0) * DOMAIN_WEIGHT;
  }
  score += room.slots - job.size.slots;
  score += getImbalance(estimate, room);
  return score;
}

/**
 * Returns the difference between the fractions of processors and memory that
 * would remain free.
 */
function getImbalance({size}: Estimate, room: Room): number {
  const processors = (room.processors - size.processors) / room.host.processors;
  const memory = (room.memoryMb - size.memoryMb) / room.host.memoryMb;
  return Math.abs(processors - memory);
}

function getDomains(host: Host): readonly string[] {
  return [host.rack, host.availabilityZone];
}

function reserve(room: Room, {size}: Estimate): void {
  room.slots -= size.slots;
  room.processors -= Math.min(size.processors, room.host.processors);
  room.memoryMb -= Math.min(size.memoryMb, room.host.memoryMb);
  room.accelerators -= size.accelerators;
}
