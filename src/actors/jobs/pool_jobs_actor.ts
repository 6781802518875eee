import {createEstimates, isActive, isFinal} from '../../decisions/jobs';
import {createMirror} from '../../state';
import {Job, JobState} from '../../types';
import {createActor, createTicker} from '../shared';
import {createAttemptEndRecorder} from './attempt_end_recorder';
import {createAttemptReconciler} from './attempt_reconciler';
import {createAttemptStarter} from './attempt_starter';
import {createAttemptTimestamps} from './attempt_timestamps';
import {createCanceller} from './canceller';
import {LeaseRenewer, HostTasks, createLeaseRenewer} from './lease_renewer';
import {createJobReservations} from './job_reservations';
import {createHostPoller} from './host_poller';
import {createHostPollStates} from './host_poll_states';
import {createJobWriter} from './job_writer';
import {JobsContext} from './jobs_context';
import {createPlacer} from './placer';
import {PoolJobsOptions} from './pool_jobs_options';
import {createPreempter} from './preempter';
import {createRetention} from './retention';
import {createTakeover} from './takeover';
import {createWatchdog} from './watchdog';

/** Runs the jobs of one pool on its leader. */
export interface PoolJobsActor {
  /** Stops all activity immediately. */
  dispose(): void;
  /**
   * Stops leading; the leases of running tasks are renewed until a new leader
   * takes over.
   */
  resign(): LeaseRenewer;
}

const ROUND_INTERVAL_MS = 200;
/** Ticks between two rounds while there is no work. */
const IDLE_TICKS = 50;
const PREEMPTION_INTERVAL_MS = 100;
const WATCHDOG_INTERVAL_MS = 1_000;
const RETENTION_INTERVAL_MS = 60_000;

/** Creates the actor that places, monitors and finishes the jobs of a pool. */
export function createPoolJobsActor(options: PoolJobsOptions): PoolJobsActor {
  const {system, store, telemetry, pool, term, workers} = options;
  const mirror = createMirror<Job>(store, `jobs/${pool}/`);
  let leading = true;
  let roundRequested = false;
  let entriesChanged = true;
  let hasUnfinishedJobs = false;
  let idleTicks = 0;

  const supersede = () => {
    leading = false;
  };
  const context: JobsContext = {
    ...options,
    mirror,
    writer: createJobWriter({store, mirror, term, supersede}),
    reservations: createJobReservations(options.slots),
    pollStates: createHostPollStates(),
    timestamps: createAttemptTimestamps(),
    estimates: createEstimates(),
    getSuspects: () => watchdog.getSuspects(),
    isLeading: () => leading,
    supersede,
    requestRound,
  };
  const endRecorder = createAttemptEndRecorder(context);
  const starter = createAttemptStarter(context, endRecorder);
  const reconciler = createAttemptReconciler(context, endRecorder, starter);
  const takeover = createTakeover(context, reconciler);
  const poller = createHostPoller(context, reconciler);
  const watchdog = createWatchdog(context, poller);
  const canceller = createCanceller(context);
  const preempter = createPreempter(context, poller);
  const placer = createPlacer(context, starter, preempter.getTimeSinceShortage);
  const retention = createRetention(context);

  const actor = createActor<undefined, 'round'>({
    system,
    name: `jobs-${pool}-${term}`,
    initial: undefined,
    errors: telemetry.errors,
    onFailing: options.onFailing,
    handle: async () => {
      roundRequested = false;
      if (leading && mirror.synced.get()) await runRound();
      return undefined;
    },
  });

  async function runRound(): Promise<void> {
    await takeover.review();
    poller.pollDue();
    canceller.review();
    await placer.place();
  }

  /** Whether any job is unfinished or any slot is still reserved. */
  function hasWork(): boolean {
    if (entriesChanged) {
      entriesChanged = false;
      const jobs = [...mirror.entries.get().values()];
      hasUnfinishedJobs = jobs.some(({value}) => !isFinal(value.state));
    }
    return hasUnfinishedJobs || context.reservations.countSlots() > 0;
  }

  /**
   * Requests a round on every tick while there is work, otherwise every
   * IDLE_TICKS ticks.
   */
  function tick(): void {
    idleTicks = hasWork() ? 0 : idleTicks + 1;
    if (idleTicks % IDLE_TICKS === 0) requestRound();
  }

  function requestRound(): void {
    if (roundRequested || !leading) return;
    roundRequested = true;
    actor.tell('round');
  }

  function learnEstimates(): void {
    for (const {value} of mirror.entries.get().values()) {
      if (value.state === JobState.Done) context.estimates.record(value);
    }
  }

  function listRunning(): readonly HostTasks[] {
    const hosts: HostTasks[] = [];
    for (const {host} of context.pollStates.all()) {
      const tasks = [...mirror.entries.get().values()]
        .map(({value}) => value)
        .filter(({state, term: known}) => isActive(state) && known === term)
        .filter(({attempts}) => attempts.at(-1)?.hostId === host.id)
        .map(({id, attempts}) => ({
          jobId: id,
          attempt: attempts.at(-1)?.number ?? 0,
        }));
      if (tasks.length > 0) hosts.push({host, tasks});
    }
    return hosts;
  }

  const stopLearning = mirror.synced.onChange(learnEstimates);
  const stopTrackingChanges = mirror.entries.onChange(() => {
    entriesChanged = true;
  });
  const tickers = [
    createTicker({
      intervalMs: ROUND_INTERVAL_MS,
      activity: 'jobs-round',
      tick: tick,
      errors: telemetry.errors,
    }),
    createTicker({
      intervalMs: PREEMPTION_INTERVAL_MS,
      activity: 'preemption',
      tick: async () => {
        if (context.reservations.countSlots() > 0) await preempter.review();
      },
      errors: telemetry.errors,
    }),
    createTicker({
      intervalMs: WATCHDOG_INTERVAL_MS,
      activity: 'jobs-watchdog',
      tick: () => {
        if (leading && hasWork()) watchdog.review();
      },
      errors: telemetry.errors,
    }),
    createTicker({
      intervalMs: RETENTION_INTERVAL_MS,
      activity: 'job-retention',
      tick: async () => {
        if (leading && mirror.synced.get()) await retention.review();
      },
      errors: telemetry.errors,
    }),
  ];

  function dispose(): void {
    leading = false;
    stopLearning();
    stopTrackingChanges();
    tickers.forEach(ticker => ticker.dispose());
    for (const {job} of [...context.reservations.all()]) {
      context.reservations.release(job.id);
    }
    mirror.dispose();
    actor.dispose();
  }

  return {
    dispose,
    resign() {
      const hosts = listRunning();
      dispose();
      return createLeaseRenewer({
        workers,
        pool,
        term,
        hosts,
        errors: telemetry.errors,
      });
    },
  };
}
