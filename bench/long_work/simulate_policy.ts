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

/** Policy that places and preempts long work. */
export enum Policy {
  /** The placement and preemption decisions under test, with learned sizes. */
  Learned = 'learned',
  /** The placement and preemption decisions under test, with declared sizes. */
  Declared = 'declared',
  /** First come, first served; the most recently started jobs are preempted. */
  FirstCome = 'first-come',
}

/** Results of one policy on a trace. */
export interface PolicyResult {
  /** Ratio of jobs that ended by their due time. */
  readonly onTimeRatio: number;
  /** Ratio of slot time spent on work that was discarded. */
  readonly workLostRatio: number;
}

interface RunningJob {
  readonly trace: TraceJob;
  readonly job: Job;
  readonly host: Host;
  readonly placement: Placement;
  readonly startedAt: number;
  /** Work done before this attempt, in s. */
  readonly doneS: number;
}

interface WaitingJob {
  readonly trace: TraceJob;
  readonly job: Job;
  readonly doneS: number;
}

const SITE = findSite('orbitica');
const BURST_INTERVAL_S = 60;
const BURST_S = 10;
const BURST_SLOTS = 32;
const LONG_WORK_MINIMUM = 0.1;
const MS_PER_S = 1_000;
const MAX_TIME_S = 100_000;

/**
 * Simulates a trace under one policy in steps of one second.
 *
 * Interactive bursts take half of the slots for 10 s of each minute. If the
 * tasks of a host use more memory than it has, its newest tasks are evicted.
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
  const declaredEstimates = createEstimates();
  const estimate =
    policy === Policy.Declared
      ? declaredEstimates.estimate
      : estimates.estimate;
  let running: RunningJob[] = [];
  let waiting: WaitingJob[] = [];
  let nextIndex = 0;
  let onTimeCount = 0;
  let endedCount = 0;
  let lostS = 0;
  let usefulS = 0;

  function finish(run: RunningJob, now: number): void {
    endedCount += 1;
    usefulS += run.trace.runTime;
    if (now <= run.trace.dueAt) onTimeCount += 1;
    const startedAt = (now - run.trace.runTime) * MS_PER_S;
    estimates.record({
      ...run.job,
      attempts: [
        {
          number: 1,
          hostId: run.host.id,
          term: 1,
          startedAt,
          endedAt: now * MS_PER_S,
          end: AttemptEnd.Done,
        },
      ],
      usage: {processors: 1, memoryMb: run.trace.memoryMb},
    });
  }

  /** Discards the work of an attempt and queues its job again. */
  function discard(run: RunningJob, now: number): void {
    lostS += now - run.startedAt;
    waiting.push({trace: run.trace, job: run.job, doneS: run.doneS});
  }

  function checkpoint(run: RunningJob, now: number): void {
    const doneS = run.doneS + now - run.startedAt;
    waiting.push({trace: run.trace, job: run.job, doneS});
  }

  function evictOverMemoryLimit(now: number): void {
    for (const host of pool) {
      const own = running.filter(run => run.host === host);
      let used = own.reduce((sum, {trace: t}) => sum + t.memoryMb, 0);
      while (used > host.memoryMb) {
        const newest = own.pop()!;
        used -= newest.trace.memoryMb;
        running = running.filter(run => run !== newest);
        discard(newest, now);
      }
    }
  }

  function preempt(slots: number, now: number): void {
    const excessSlots = running.length - slots;
    if (excessSlots <= 0) return;
    if (policy === Policy.FirstCome) {
      const victims = running.slice(-excessSlots);
      running = running.slice(0, -excessSlots);
      victims.forEach(run => discard(run, now));
      return;
    }
    const ids = new Set(
      chooseVictims({
        neededSlots: excessSlots,
        guaranteedSlots: Math.floor(LONG_WORK_MINIMUM * totalSlots),
        running: running.map(run => toVictimCandidate(run, now)),
      }),
    );
    const victims = running.filter(({job}) => ids.has(job.id));
    running = running.filter(({job}) => !ids.has(job.id));
    victims.forEach(run => checkpoint(run, now));
  }

  function toVictimCandidate(run: RunningJob, now: number) {
    const ranMs = (now - run.startedAt) * MS_PER_S;
    const expectedMs =
      estimate(run.job).runTimeMs - run.doneS * MS_PER_S - ranMs;
    return {
      jobId: run.job.id,
      slots: 1,
      idempotent: true,
      remainingMs: Math.max(0, expectedMs),
      dueInMs: (run.trace.dueAt - now) * MS_PER_S,
      ranMs,
      preemptions: run.doneS > 0 ? 1 : 0,
    };
  }

  function place(slots: number, now: number): void {
    const placeable = slots - running.length;
    if (placeable <= 0) return;
    const placements =
      policy === Policy.FirstCome
        ? placeFirstCome(placeable)
        : planPlacements({
            now: now * MS_PER_S,
            waiting: waiting.map(({job}) => job),
            rooms: pool.map(getRoom),
            estimate,
            teamSlots: new Map(),
            teamQuotas: {},
            totalSlots,
            placeable,
            limit: 64,
          });
    for (const placement of placements) start(placement, now);
  }

  function getRoom(host: Host): HostRoom {
    const room = {host, avoided: false, ...host};
    for (const run of running) {
      if (run.host !== host) continue;
      room.slots -= 1;
      room.processors -= 1;
      room.memoryMb -= run.placement.estimate.size.memoryMb;
    }
    return room;
  }

  /**
   * Places jobs in order of submission by their declared sizes, up to the first
   * that does not fit.
   */
  function placeFirstCome(placeable: number): readonly Placement[] {
    const rooms = pool.map(getRoom);
    const placements: Placement[] = [];
    const ordered = [...waiting].sort(
      (a, b) => a.trace.submittedAt - b.trace.submittedAt,
    );
    for (const {job} of ordered.slice(0, placeable)) {
      const declared = declaredEstimates.estimate(job);
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

  function start(placement: Placement, now: number): void {
    const waitingJob = waiting.find(({job}) => job.id === placement.job.id);
    const host = pool.find(({id}) => id === placement.hostId);
    if (!waitingJob || !host) return;
    waiting = waiting.filter(known => known !== waitingJob);
    running.push({...waitingJob, host, placement, startedAt: now});
  }

  for (let now = 0; endedCount < trace.length && now < MAX_TIME_S; now += 1) {
    while (nextIndex < trace.length && trace[nextIndex].submittedAt <= now) {
      waiting.push({
        trace: trace[nextIndex],
        job: toJob(trace[nextIndex]),
        doneS: 0,
      });
      nextIndex += 1;
    }
    const finished = running.filter(
      run => run.doneS + now - run.startedAt >= run.trace.runTime,
    );
    running = running.filter(run => !finished.includes(run));
    finished.forEach(run => finish(run, now));
    const burst = now % BURST_INTERVAL_S < BURST_S;
    const slots = burst ? totalSlots - BURST_SLOTS : totalSlots;
    evictOverMemoryLimit(now);
    preempt(slots, now);
    place(slots, now);
  }
  return {
    onTimeRatio: onTimeCount / trace.length,
    workLostRatio: lostS / (lostS + usefulS),
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
    runTimeMs: trace.declaredRunTime * MS_PER_S,
    submittedAt: trace.submittedAt * MS_PER_S,
    dueAt: trace.dueAt * MS_PER_S,
    input: '',
    attempts: [],
    cause: '',
  };
}
