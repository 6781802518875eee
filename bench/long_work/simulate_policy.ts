import {
  HostRoom,
  Placement,
  chooseVictims,
  createEstimates,
  planPlacements,
} from '../../src/decisions/jobs';
import {createHost, findSite} from '../../src/stand_ins/site';
import {AttemptEnd, Host, Job, JobState} from '../../src/types';
import {TraceJob} from './job_trace';

/** A way of placing and preempting long work. */
export enum Policy {
  /** The product's decisions with learned sizes. */
  Learned = 'learned',
  /** The product's decisions with declared sizes. */
  Declared = 'declared',
  /** First come, first served; the newest work is stopped to make room. */
  FirstCome = 'first-come',
}

/** What a policy made of a trace. */
export interface PolicyResult {
  /** Share of jobs that ended by their due time. */
  readonly onTimeRatio: number;
  /** Share of slot time whose work was thrown away. */
  readonly workLostRatio: number;
}

interface Running {
  readonly trace: TraceJob;
  readonly job: Job;
  readonly host: Host;
  readonly placement: Placement;
  readonly startedAt: number;
  /** Work done before this attempt, in s. */
  readonly done: number;
}

interface Waiting {
  readonly trace: TraceJob;
  readonly job: Job;
  readonly done: number;
}

const SITE = findSite('orbitica');
const BURST_EVERY_S = 60;
const BURST_S = 10;
const BURST_SLOTS = 32;
const MINIMUM = 0.1;
const S = 1_000;
const LAST_S = 100_000;

/**
 * Runs a trace second by second under one policy.
 *
 * Interactive bursts take half of the slots for 10 s of each minute. A host
 * whose tasks use more memory than it has loses the newest of them.
 */
export function simulatePolicy(
  trace: readonly TraceJob[],
  policy: Policy,
): PolicyResult {
  const hosts = SITE.pools[0].workers;
  const pool = Array.from({length: hosts}, (_, i) =>
    createHost(SITE, SITE.pools[0], i, '127.0.0.1', 0),
  );
  const totalSlots = pool.reduce((sum, {slots}) => sum + slots, 0);
  const estimates = createEstimates();
  const trusted = createEstimates();
  const estimate =
    policy === Policy.Declared ? trusted.estimate : estimates.estimate;
  let running: Running[] = [];
  let waiting: Waiting[] = [];
  let next = 0;
  let onTime = 0;
  let ended = 0;
  let lost = 0;
  let useful = 0;

  function end(run: Running, now: number): void {
    ended += 1;
    useful += run.trace.runTime;
    if (now <= run.trace.dueAt) onTime += 1;
    const startedAt = (now - run.trace.runTime) * S;
    estimates.record({
      ...run.job,
      attempts: [
        {
          number: 1,
          hostId: run.host.id,
          term: 1,
          startedAt,
          endedAt: now * S,
          end: AttemptEnd.Done,
        },
      ],
      usage: {processors: 1, memoryMb: run.trace.memoryMb},
    });
  }

  /** Throws away an attempt's work; the job waits again. */
  function lose(run: Running, now: number): void {
    lost += now - run.startedAt;
    waiting.push({trace: run.trace, job: run.job, done: run.done});
  }

  function checkpoint(run: Running, now: number): void {
    const done = run.done + now - run.startedAt;
    waiting.push({trace: run.trace, job: run.job, done});
  }

  function killOversized(now: number): void {
    for (const host of pool) {
      const own = running.filter(run => run.host === host);
      let used = own.reduce((sum, {trace: t}) => sum + t.memoryMb, 0);
      while (used > host.memoryMb) {
        const newest = own.pop()!;
        used -= newest.trace.memoryMb;
        running = running.filter(run => run !== newest);
        lose(newest, now);
      }
    }
  }

  function makeRoom(slots: number, now: number): void {
    const wanted = running.length - slots;
    if (wanted <= 0) return;
    if (policy === Policy.FirstCome) {
      const victims = running.slice(-wanted);
      running = running.slice(0, -wanted);
      victims.forEach(run => lose(run, now));
      return;
    }
    const ids = new Set(
      chooseVictims({
        neededSlots: wanted,
        guaranteedSlots: Math.floor(MINIMUM * totalSlots),
        running: running.map(run => describe(run, now)),
      }),
    );
    const victims = running.filter(({job}) => ids.has(job.id));
    running = running.filter(({job}) => !ids.has(job.id));
    victims.forEach(run => checkpoint(run, now));
  }

  function describe(run: Running, now: number) {
    const ranMs = (now - run.startedAt) * S;
    const expected = estimate(run.job).runTimeMs - run.done * S - ranMs;
    return {
      jobId: run.job.id,
      slots: 1,
      idempotent: true,
      remainingMs: Math.max(0, expected),
      dueInMs: (run.trace.dueAt - now) * S,
      ranMs,
      preemptions: run.done > 0 ? 1 : 0,
    };
  }

  function place(slots: number, now: number): void {
    const placeable = slots - running.length;
    if (placeable <= 0) return;
    const placements =
      policy === Policy.FirstCome
        ? placeFirstCome(placeable)
        : planPlacements({
            now: now * S,
            waiting: waiting.map(({job}) => job),
            rooms: pool.map(roomOf),
            estimate,
            teamSlots: new Map(),
            teamQuotas: {},
            totalSlots,
            placeable,
            limit: 64,
          });
    for (const placement of placements) begin(placement, now);
  }

  function roomOf(host: Host): HostRoom {
    const room = {host, avoided: false, ...host};
    for (const run of running) {
      if (run.host !== host) continue;
      room.slots -= 1;
      room.processors -= 1;
      room.memoryMb -= run.placement.estimate.size.memoryMb;
    }
    return room;
  }

  /** Places in order of submission by declared sizes, and stops at the first that doesn't fit. */
  function placeFirstCome(placeable: number): readonly Placement[] {
    const rooms = pool.map(roomOf);
    const placements: Placement[] = [];
    const ordered = [...waiting].sort(
      (a, b) => a.trace.submittedAt - b.trace.submittedAt,
    );
    for (const {job} of ordered.slice(0, placeable)) {
      const declared = trusted.estimate(job);
      const room = rooms.find(
        r => r.slots > 0 && r.memoryMb >= declared.size.memoryMb,
      );
      if (!room) break;
      Object.assign(room, {
        slots: room.slots - 1,
        memoryMb: room.memoryMb - declared.size.memoryMb,
      });
      placements.push({job, hostId: room.host.id, estimate: declared});
    }
    return placements;
  }

  function begin(placement: Placement, now: number): void {
    const found = waiting.find(({job}) => job.id === placement.job.id);
    const host = pool.find(({id}) => id === placement.hostId);
    if (!found || !host) return;
    waiting = waiting.filter(known => known !== found);
    running.push({...found, host, placement, startedAt: now});
  }

  for (let now = 0; ended < trace.length && now < LAST_S; now += 1) {
    while (next < trace.length && trace[next].submittedAt <= now) {
      waiting.push({trace: trace[next], job: toJob(trace[next]), done: 0});
      next += 1;
    }
    const finished = running.filter(
      run => run.done + now - run.startedAt >= run.trace.runTime,
    );
    running = running.filter(run => !finished.includes(run));
    finished.forEach(run => end(run, now));
    const burst = now % BURST_EVERY_S < BURST_S;
    const slots = burst ? totalSlots - BURST_SLOTS : totalSlots;
    killOversized(now);
    makeRoom(slots, now);
    place(slots, now);
  }
  return {
    onTimeRatio: onTime / trace.length,
    workLostRatio: lost / (lost + useful),
  };
}

function toJob(trace: TraceJob): Job {
  return {
    id: trace.id,
    operationId: trace.id,
    term: 1,
    service: 'bench',
    pool: 'bench',
    team: trace.team,
    state: JobState.Waiting,
    idempotent: true,
    size: {
      slots: 1,
      processors: 1,
      memoryMb: Math.min(32_000, trace.declaredMemoryMb),
      accelerators: 0,
    },
    runTimeMs: trace.declaredRunTime * S,
    submittedAt: trace.submittedAt * S,
    dueAt: trace.dueAt * S,
    input: '',
    attempts: [],
    cause: '',
  };
}
