import {JobViolationKind, checkJobHistory} from '../../src/history/jobs';
import {AttemptEnd, JobState} from '../../src/types';
import {Bench, above, atLeast, atMost, createProcessSite} from '../shared';
import {disturbEverything, disturbLeaders} from './fault_script';
import {measureIdleRatio} from './idle_ratio';
import {JobDraft} from './job_client';
import {JobPhase, runJobPhase} from './job_phase';
import {createRandom, createTrace} from './job_trace';
import {runPreemption} from './preemption_run';
import {Policy, simulatePolicy} from './simulate_policy';

const FIRST_PORT = 24_000;
const ENTRIES = 7;
const FEW_ENTRIES = 3;
const JOBS = 1_000;
const QUICK_JOBS = 300;
const SUBMITTERS = 16;
const REBOOT_MS = 4_000;
const SLOTS = 64;
const SETTLE_MS = 120_000;
const TRACE_JOBS = 1_000;
const TRACE_GAP_S = 1.7;

/** Runs jobs through seven entry processes under faults and measures what became of them. */
export const runLongWorkBench: Bench = async ({seed, quick, progress}) => {
  const total = quick ? QUICK_JOBS : JOBS;
  const share = Math.floor(total / 4);
  const random = createRandom(seed);
  const site = await createProcessSite({
    entries: ENTRIES,
    firstPort: FIRST_PORT,
    rebootMs: REBOOT_MS,
  });
  const services = site.site.pools.map(({name}) => name);
  const draft = (phase: string, count: number, single: boolean): JobDraft[] =>
    Array.from({length: count}, (_, i) => ({
      service: single ? services[0] : services[i % services.length],
      key: `${phase}-${i}`,
      idempotent: random() < 0.8,
      workMs: Math.round(2_000 + 6_000 * random()),
    }));
  const phases: Record<string, JobPhase> = {};
  try {
    progress('jobs without faults at seven entry hosts');
    phases.calm = await runJobPhase(site, {
      drafts: draft('calm', share, true),
      submitters: SUBMITTERS,
      settleMs: SETTLE_MS,
    });
    progress('jobs under killed and paused leaders');
    phases.leaders = await runJobPhase(site, {
      drafts: draft('leaders', share, false),
      submitters: 2,
      settleMs: SETTLE_MS,
      disturb: () => disturbLeaders(site),
    });
    progress('jobs under every fault at once');
    phases.faults = await runJobPhase(site, {
      drafts: draft('faults', share, false),
      submitters: 2,
      settleMs: SETTLE_MS,
      disturb: () => disturbEverything(site),
    });
    progress('jobs without faults at three entry hosts');
    for (const entry of site.entries.slice(FEW_ENTRIES)) {
      await entry.child.end('SIGTERM');
    }
    phases.few = await runJobPhase(site, {
      drafts: draft('few', total - 3 * share, true),
      submitters: SUBMITTERS,
      settleMs: SETTLE_MS,
    });
  } finally {
    await site.dispose();
  }
  progress('bursts over a pool that long work fills');
  const preemption = await runPreemption(quick ? 4 : 12);
  progress('policies on one trace');
  const trace = createTrace(TRACE_JOBS, seed, TRACE_GAP_S);
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
  const doubled = count(
    JobViolationKind.Overlap,
    JobViolationKind.RanAgain,
    JobViolationKind.AttemptRepeated,
    JobViolationKind.Unknown,
  );
  const idle = measureIdleRatio({
    runs: phases.calm.runs,
    slots: SLOTS,
    fillMs: 1_000,
  });
  return {
    bench: 'long-work',
    seed,
    measures: [
      atMost('jobs-lost', lost, 0),
      atMost('jobs-doubled', doubled, 0),
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
        Object.entries(phases).map(([name, phase]) => [name, tally(phase)]),
      ),
    },
  };
};

/** Counts attempts after the first that no worker's failure explains. */
function countRestarts({records}: JobPhase): number {
  const restarted = [AttemptEnd.Lost, AttemptEnd.Stopped];
  return records
    .flatMap(({attempts}) => attempts)
    .filter(({end}) => end !== undefined && restarted.includes(end)).length;
}

function countAccepted(phases: readonly JobPhase[]): number {
  return phases.reduce((sum, {accepted}) => sum + accepted.length, 0);
}

function tally({records}: JobPhase): Partial<Record<JobState, number>> {
  const states: Partial<Record<JobState, number>> = {};
  for (const {state} of records) states[state] = (states[state] ?? 0) + 1;
  return states;
}

function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil(sorted.length * share) - 1;
  return Math.round(sorted[Math.max(0, index)] ?? Infinity);
}
