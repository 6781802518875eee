import {ActorSystemRef} from 'nact';
import {canChange, chooseWorker} from '../../decisions/jobs';
import {Store, TaskOrder, TaskReport, TaskState, Workers} from '../../ports';
import {MirrorEntry, WriteOutcome, createMirror, write} from '../../state';
import {Telemetry} from '../../telemetry';
import {
  DecisionKind,
  Host,
  Job,
  JobAttempt,
  JobState,
  PoolHost,
} from '../../types';
import {createActor, createTicker} from '../shared';
import {PoolSlots} from '../slots';

/** The leader's keeper of one pool's long jobs. */
export interface PoolJobsActor {
  dispose(): void;
}

/** Where the actor gets what it needs. */
export interface PoolJobsOptions {
  readonly system: ActorSystemRef;
  readonly store: Store;
  readonly workers: Workers;
  readonly telemetry: Telemetry;
  readonly pool: string;
  /** Term under which this member leads the pool. */
  readonly term: number;
  readonly getHosts: () => readonly PoolHost[];
  /** Ledger of the pool's slots, shared with interactive work. */
  readonly slots: PoolSlots;
}

/** Length of a task's lease at its worker. */
export const TASK_LEASE_MS = 5_000;

const REVIEW_MS = 200;
/** Wait after the last renewal until a lease has certainly lapsed. */
const LAPSE_MS = TASK_LEASE_MS + 500;

/** Creates the actor that places, renews and finishes a led pool's jobs. */
export function createPoolJobsActor(options: PoolJobsOptions): PoolJobsActor {
  const {system, store, workers, telemetry, pool, term, getHosts} = options;
  const mirror = createMirror<Job>(store, `jobs/${pool}/`);
  const startedAt = performance.now();
  /** Monotonic time of the last call that may have renewed a job's lease. */
  const renewedAt = new Map<string, number>();

  const actor = createActor<undefined, 'review'>({
    system,
    name: `jobs-${pool}-${term}`,
    initial: undefined,
    log: telemetry.log,
    handle: async () => {
      if (mirror.synced.get()) await review();
      return undefined;
    },
  });

  async function review(): Promise<void> {
    const reports = await readReports();
    for (const entry of [...mirror.entries.get().values()]) {
      await reviewJob(entry, reports);
    }
  }

  async function readReports(): Promise<ReadonlyMap<string, TaskReport>> {
    const reports = new Map<string, TaskReport>();
    const hosts = busyHosts();
    const answers = await Promise.all(hosts.map(host => workers.report(host)));
    for (const answer of answers) {
      if (answer.isErr) continue;
      for (const task of answer.value.tasks) {
        reports.set(taskKey(task.jobId, task.attempt), task);
      }
    }
    return reports;
  }

  function busyHosts(): readonly Host[] {
    const ids = new Set<string>();
    for (const {value} of mirror.entries.get().values()) {
      const hostId = value.attempts.at(-1)?.hostId;
      const busy =
        value.state === JobState.Starting || value.state === JobState.Running;
      if (hostId !== undefined && busy) ids.add(hostId);
    }
    return getHosts()
      .map(({host}) => host)
      .filter(host => ids.has(host.id));
  }

  async function reviewJob(
    entry: MirrorEntry<Job>,
    reports: ReadonlyMap<string, TaskReport>,
  ): Promise<void> {
    const job = entry.value;
    switch (job.state) {
      case JobState.Waiting:
      case JobState.Checkpointed:
        return place(entry);
      case JobState.Starting:
      case JobState.Running:
        return follow(entry, reports);
      case JobState.Cancelled:
        return stopTask(job);
      default:
        return;
    }
  }

  async function place(entry: MirrorEntry<Job>): Promise<void> {
    const job = entry.value;
    const jobs = [...mirror.entries.get().values()].map(e => e.value);
    const hostId = chooseWorker(job, getHosts(), jobs);
    const host = findHost(hostId);
    if (!host) return;
    const attempt: JobAttempt = {
      number: job.attempts.length + 1,
      hostId: host.id,
      term,
      startedAt: Date.now(),
    };
    const starting = await save(entry, {
      ...job,
      state: JobState.Starting,
      attempts: [...job.attempts, attempt],
      cause: `attempt ${attempt.number} starts on ${host.id}`,
    });
    if (!starting) return;
    telemetry.decide({
      kind: DecisionKind.Place,
      subject: job.id,
      pool,
      cause: starting.value.cause,
      inputs: {term, attempt: attempt.number},
    });
    await start(starting, host, attempt);
  }

  async function start(
    entry: MirrorEntry<Job>,
    host: Host,
    attempt: JobAttempt,
  ): Promise<void> {
    const job = entry.value;
    renewedAt.set(job.id, performance.now());
    const started = await workers.startTask(host, {
      jobId: job.id,
      pool,
      attempt: attempt.number,
      term,
      leaseMs: TASK_LEASE_MS,
      size: job.size,
      input: job.input,
      checkpoint: job.checkpoint,
      idempotent: job.idempotent,
    });
    if (started.isErr) return;
    await save(entry, {
      ...job,
      state: JobState.Running,
      cause: `runs on ${host.id}`,
    });
  }

  async function follow(
    entry: MirrorEntry<Job>,
    reports: ReadonlyMap<string, TaskReport>,
  ): Promise<void> {
    const job = entry.value;
    const attempt = job.attempts.at(-1);
    if (!attempt) return;
    const report = reports.get(taskKey(job.id, attempt.number));
    if (!report) return giveUpLapsed(entry, attempt);
    switch (report.state) {
      case TaskState.Running:
      case TaskState.Throttled:
        return renew(entry, attempt);
      case TaskState.Done:
        return finish(entry, JobState.Done, report);
      case TaskState.Failed:
        return finish(entry, JobState.Failed, report);
      case TaskState.Checkpointed:
        await save(entry, {
          ...job,
          state: JobState.Checkpointed,
          checkpoint: report.checkpoint,
          cause: 'checkpointed',
        });
        return;
      case TaskState.Stopped:
      case TaskState.Lapsed:
        return giveUp(entry, `the task ended as ${report.state}`);
    }
  }

  async function renew(
    entry: MirrorEntry<Job>,
    attempt: JobAttempt,
  ): Promise<void> {
    const job = entry.value;
    const host = findHost(attempt.hostId);
    if (!host) return;
    renewedAt.set(job.id, performance.now());
    await workers.orderTask(
      host,
      job.id,
      attempt.number,
      term,
      TaskOrder.Renew,
    );
    if (job.state !== JobState.Starting) return;
    await save(entry, {
      ...job,
      state: JobState.Running,
      cause: `runs on ${host.id}`,
    });
  }

  async function giveUpLapsed(
    entry: MirrorEntry<Job>,
    attempt: JobAttempt,
  ): Promise<void> {
    const since = renewedAt.get(entry.value.id) ?? startedAt;
    if (performance.now() - since < LAPSE_MS) return;
    await giveUp(entry, `the lease on ${attempt.hostId} has lapsed`);
  }

  async function giveUp(entry: MirrorEntry<Job>, cause: string): Promise<void> {
    const job = entry.value;
    const state = job.idempotent ? JobState.Waiting : JobState.Held;
    const saved = await save(entry, {...job, state, cause});
    if (!saved || state !== JobState.Held) return;
    telemetry.decide({kind: DecisionKind.Hold, subject: job.id, pool, cause});
  }

  async function finish(
    entry: MirrorEntry<Job>,
    state: JobState,
    report: TaskReport,
  ): Promise<void> {
    const job = entry.value;
    const saved = await save(entry, {
      ...job,
      state,
      result: report.result,
      cause: report.cause ?? 'the task ended well',
      finishedAt: Date.now(),
    });
    if (!saved) return;
    telemetry.decide({
      kind: DecisionKind.Finish,
      subject: job.id,
      pool,
      cause: saved.value.cause,
      inputs: {state, attempt: report.attempt},
    });
    await release(job, report.attempt);
  }

  async function release(job: Job, attempt: number): Promise<void> {
    const host = findHost(job.attempts.at(-1)?.hostId);
    renewedAt.delete(job.id);
    if (!host) return;
    await workers.orderTask(host, job.id, attempt, term, TaskOrder.Release);
  }

  async function stopTask(job: Job): Promise<void> {
    const attempt = job.attempts.at(-1);
    const host = findHost(attempt?.hostId);
    if (!attempt || !host || !renewedAt.has(job.id)) return;
    const stopped = await workers.orderTask(
      host,
      job.id,
      attempt.number,
      term,
      TaskOrder.Stop,
    );
    if (stopped.isOk) renewedAt.delete(job.id);
  }

  async function save(
    entry: MirrorEntry<Job>,
    next: Job,
  ): Promise<MirrorEntry<Job> | undefined> {
    if (!canChange(entry.value.state, next.state)) {
      throw new Error(`${entry.value.state} can't become ${next.state}`);
    }
    const written = await write(store, {
      key: entry.key,
      expectedVersion: entry.version,
      value: JSON.stringify(next),
    });
    if (written.outcome !== WriteOutcome.Written) return undefined;
    mirror.accept(entry.key, written.version, next);
    return {key: entry.key, version: written.version, value: next};
  }

  function findHost(hostId: string | undefined): Host | undefined {
    return getHosts().find(({host}) => host.id === hostId)?.host;
  }

  const ticker = createTicker(REVIEW_MS, () => actor.tell('review'));

  return {
    dispose() {
      ticker.dispose();
      mirror.dispose();
      actor.dispose();
    },
  };
}

function taskKey(jobId: string, attempt: number): string {
  return `${jobId}#${attempt}`;
}
