import {JobViolationKind, checkJobHistory} from '../../src/history/jobs';
import {AttemptEnd, JobState} from '../../src/types';
import {Bench, above, atLeast, atMost, createProcessSite} from '../shared';
import {injectAllFaults, injectLeaderFaults} from './fault_injection';
import {measureIdleRatio} from './idle_ratio';
import {JobDraft} from './job_client';
import {JobPhase, runJobPhase} from './job_phase';
import {createRandom, createTrace} from './job_trace';
import {runPreemption} from './preemption_run';
import {Policy, simulatePolicy} from './simulate_policy';

const FIRST_PORT = 24_000;
const ENTRIES = 7;
const REMAINING_ENTRIES = 3;
const JOBS = 1_000;
const QUICK_JOBS = 300;
const SUBMITTERS = 16;
const REBOOT_MS = 4_000;
const POOL_SLOTS = 64;
const SETTLE_TIMEOUT_MS = 120_000;
const TRACE_JOBS = 1_000;
const MEAN_SUBMISSION_INTERVAL_S = 1.7;

/**
 * Runs jobs over seven entry processes, without and with faults, and compares
 * the placement policies in a simulation.
 *
 * Measures lost and duplicated jobs, idle slots, preemption delays and store
 * writes.
 */
export const runLongWorkBench: Bench = async ({seed, quick, progress}) => {
  const total = quick ? QUICK_JOBS : JOBS;
  const jobsPerPhase = Math.floor(total / 4);
  const random = createRandom(seed);
  const site = await createProcessSite({
    entries: ENTRIES,
    firstPort: FIRST_PORT,
    rebootMs: REBOOT_MS,
  });
  const services = site.site.pools.map(({name}) => name);
  const createDrafts = (
    phase: string,
    count: number,
    singleService: boolean,
  ): JobDraft[] =>
    Array.from({length: count}, (_, i) => ({
      service: singleService ? services[0] : services[i % services.length],
      key: `${phase}-${i}`,
      idempotent: random() < 0.8,
      workMs: Math.round(2_000 + 6_000 * random()),
    }));
  const phases: Record<string, JobPhase> = {};
  try {
    progress('jobs without faults at seven entry hosts');
    phases.calm = await runJobPhase(site, {
      drafts: createDrafts('calm', jobsPerPhase, true),
      submitters: SUBMITTERS,
      settleTimeoutMs: SETTLE_TIMEOUT_MS,
    });
    progress('jobs with killed and paused leaders');
    phases.leaders = await runJobPhase(site, {
      drafts: createDrafts('leaders', jobsPerPhase, false),
      submitters: 2,
      settleTimeoutMs: SETTLE_TIMEOUT_MS,
      injectFaults: () => injectLeaderFaults(site),
    });
    progress('jobs with faults of entry hosts, store and workers');
    phases.faults = await runJobPhase(site, {
      drafts: createDrafts('faults', jobsPerPhase, false),
      submitters: 2,
      settleTimeoutMs: SETTLE_TIMEOUT_MS,
      injectFaults: () => injectAllFaults(site),
    });
    progress('jobs without faults at three entry hosts');
    for (const entry of site.entries.slice(REMAINING_ENTRIES)) {
      await entry.child.end('SIGTERM');
    }
    phases.few = await runJobPhase(site, {
      drafts: createDrafts('few', total - 3 * jobsPerPhase, true),
      submitters: SUBMITTERS,
      settleTimeoutMs: SETTLE_TIMEOUT_MS,
    });
  } finally {
    await site.dispose();
  }
  progress('bursts on a pool filled with long work');
  const preemption = await runPreemption(quick ? 4 : 12);
  progress('simulation of the placement policies');
  const trace = createTrace(TRACE_JOBS, seed, MEAN_SUBMISSION_INTERVAL_S);
  const learned = simulatePolicy(trace, Policy.Learned);
  const declared = simulatePolicy(trace, Policy.Declared);
  const firstCome = simulatePolicy(trace, Policy.FirstCome);

  const all = Object.values(phases);
  const violations = all.flatMap(phase => checkJobHistory(phase));
  const count = (...kinds: readonly JobViolationKind[]) =>
    violations.filter(({kind}) => kinds.includes(kind)).length;
  const lost = count(
    JobViolationKind.Lost,
    JobViolationKind.Unfinished,
    JobViolationKind.FalseDone,
    JobViolationKind.CompletionLost,
  );
  const duplicated = count(
    JobViolationKind.Overlap,
    JobViolationKind.RanAgain,
    JobViolationKind.AttemptRepeated,
    JobViolationKind.Unknown,
  );
  const idle = measureIdleRatio({
    runs: phases.calm.runs,
    slots: POOL_SLOTS,
    warmUpMs: 1_000,
  });
  return {
    bench: 'long-work',
    seed,
    measures: [
      atMost('jobs-lost', lost, 0),
      atMost('jobs-doubled', duplicated, 0),
      atMost('takeover-restarts', countRestarts(phases.leaders), 0),
      atMost('idle-slots-while-waiting-ratio', idle, 0.05),
      atMost(
        'preemption-wait-ms-p99',
        percentile(preemption.waits, 0.99),
        preemption.boundMs,
      ),
      atMost('store-writes-per-job', phases.calm.writesPerJob, 6),
      atMost('store-writes-per-job-at-3-entries', phases.few.writesPerJob, 6),
      above(
        'on-time-ratio-against-first-come',
        learned.onTimeRatio,
        firstCome.onTimeRatio,
      ),
      above(
        'on-time-ratio-against-declared',
        learned.onTimeRatio,
        declared.onTimeRatio,
      ),
      atMost(
        'work-lost-ratio-against-first-come',
        learned.workLostRatio,
        firstCome.workLostRatio,
      ),
      atMost(
        'work-lost-ratio-against-declared',
        learned.workLostRatio,
        declared.workLostRatio,
      ),
      atLeast('jobs-accepted', countAccepted(all), total),
    ],
    details: {
      violations,
      policies: {learned, declared, firstCome},
      states: Object.fromEntries(
        Object.entries(phases).map(([name, phase]) => [
          name,
          countStates(phase),
        ]),
      ),
    },
  };
};

/**
 * Counts attempts that ended as lost or stopped. In a phase without worker
 * faults, only a change of leader causes them.
 */
function countRestarts({records}: JobPhase): number {
  const restarted = [AttemptEnd.Lost, AttemptEnd.Stopped];
  return records
    .flatMap(({attempts}) => attempts)
    .filter(({end}) => end !== undefined && restarted.includes(end)).length;
}

function countAccepted(phases: readonly JobPhase[]): number {
  return phases.reduce((sum, {accepted}) => sum + accepted.length, 0);
}

function countStates({records}: JobPhase): Partial<Record<JobState, number>> {
  const states: Partial<Record<JobState, number>> = {};
  for (const {state} of records) states[state] = (states[state] ?? 0) + 1;
  return states;
}

function percentile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil(sorted.length * fraction) - 1;
  return Math.round(sorted[Math.max(0, index)] ?? Infinity);
}
