import {
  HostRoom,
  LateReservation,
  OrganisationUsage,
  PlacedTask,
  PlacementCandidate,
  PlacementPass,
  RunTimes,
  StartLimit,
  StartRefusals,
  TaskPhase,
  TaskRecord,
  WaveLimits,
  WorkflowRecord,
  countWaves,
  createPlacement,
  createReservationWatch,
  createStartLimit,
  getCriticalPathMs,
  getDueAt,
  getFirstUnfinishedOccurrence,
  getSlackMs,
  getUrgency,
  isOpen,
  listReadyGroups,
  runPlacementPass,
  sumCapacities,
} from '../../decisions/workflows';
import {Log} from '../../telemetry';
import {
  Capacity,
  Organisation,
  Step,
  TaskHost,
  Workflow,
  WorkflowState,
} from '../../types/workflow';
import {createCapLog} from './cap_log';
import {HostSessions} from './host_sessions';
import {TicketCache} from './ticket_cache';

/** Assigns waiting tasks to hosts. */
export interface TaskPlacer {
  /**
   * Places all waiting tasks that fit on a host now, in order of urgency of
   * their workflows.
   */
  placeAll(): void;
}

/** Dependencies of a task placer. */
export interface TaskPlacerOptions {
  readonly records: ReadonlyMap<string, WorkflowRecord>;
  readonly sessions: HostSessions;
  readonly tickets: TicketCache;
  readonly refusals: StartRefusals;
  readonly runTimes: RunTimes;
  /**
   * Returns the configured organisations by name; undefined if no configuration
   * was read yet.
   */
  readonly getOrganisations: () =>
    ReadonlyMap<string, Organisation> | undefined;
  /** What may be running of each organisation. */
  readonly usage: OrganisationUsage;
  /** Whether room is kept for large work that does not fit yet. */
  readonly looksAhead: boolean;
  /** Called when a workflow cannot be handled; it must not be placed again. */
  readonly onInvalid: (record: WorkflowRecord, error: unknown) => void;
  /** Called when the start of a stored placement is ordered. */
  readonly onOrdered: (task: TaskRecord) => void;
  /** Stores a changed workflow and then calls `effect`. */
  readonly store: (record: WorkflowRecord, effect: () => void) => void;
  /** Returns the current Unix time in ms. */
  readonly unixNow: () => number;
  readonly log: Log;
}

/**
 * Maximum number of tasks of a group that are started in one pass after a host
 * has refused one of them.
 */
const MAX_PROBES = 2;

/**
 * Creates the placer of a term.
 *
 * @param options the workflows, the host sessions and the log
 */
export function createTaskPlacer({
  records,
  sessions,
  tickets,
  refusals,
  runTimes,
  getOrganisations,
  usage,
  looksAhead,
  onInvalid,
  onOrdered,
  store,
  unixNow,
  log,
}: TaskPlacerOptions): TaskPlacer {
  const capLog = createCapLog(log);
  const watch = createReservationWatch();

  function listCandidates(): Map<string, PlacementCandidate[]> {
    const now = unixNow();
    const byPool = new Map<string, PlacementCandidate[]>();
    const capacities = measurePools();
    for (const record of records.values()) {
      if (!isOpen(record)) continue;
      const candidate = tryCreateCandidate(record, capacities, now);
      if (!candidate) continue;
      const {pool} = record.workflow;
      const list = byPool.get(pool);
      if (list) list.push(candidate);
      else byPool.set(pool, [candidate]);
    }
    return byPool;
  }

  function tryCreateCandidate(
    record: WorkflowRecord,
    capacities: ReadonlyMap<string, Capacity>,
    now: number,
  ): PlacementCandidate | undefined {
    try {
      return createCandidate(record, capacities, now);
    } catch (error) {
      onInvalid(record, error);
      return undefined;
    }
  }

  /** Returns undefined if no task of the workflow waits. */
  function createCandidate(
    record: WorkflowRecord,
    capacities: ReadonlyMap<string, Capacity>,
    now: number,
  ): PlacementCandidate | undefined {
    const groups = listReadyGroups(record, now).filter(hasWaiting);
    if (groups.length === 0) return undefined;
    const {workflow} = record;
    const waveLimits = getWaveLimits(workflow, capacities);
    const expect = (step: Step) =>
      runTimes.estimate(workflow.queue, step) * countWaves(step, waveLimits);
    const criticalPathMs = getCriticalPathMs(workflow.steps, expect);
    const occurrence = getFirstUnfinishedOccurrence(record);
    const isDone = (index: number) =>
      record.groups
        .get(`${occurrence}.${index}`)
        ?.every(task => task.phase === TaskPhase.Done) ?? false;
    const remainingMs = workflow.steps.some((_, index) => isDone(index))
      ? getCriticalPathMs(
          workflow.steps.map((step, index) =>
            isDone(index) ? {...step, estimateMs: 0} : step,
          ),
          expect,
        )
      : criticalPathMs;
    const urgency = getUrgency(
      workflow,
      getDueAt(workflow, occurrence) || record.acceptedAt,
      criticalPathMs,
      remainingMs,
      now,
    );
    const slackMs = getSlackMs(urgency, remainingMs, now);
    return {record, urgency, slackMs, groups};
  }

  /**
   * Returns what limits the width of a workflow's steps; nothing without
   * organisations.
   */
  function getWaveLimits(
    {organisation = '', pool}: Workflow,
    capacities: ReadonlyMap<string, Capacity>,
  ): WaveLimits {
    const cap = getOrganisations()?.get(organisation)?.cap;
    return {room: capacities.get(pool), cap};
  }

  /** Returns the capacity of each pool if there are organisations. */
  function measurePools(): ReadonlyMap<string, Capacity> {
    if (!getOrganisations()?.size) return new Map();
    const hosts = new Map<string, TaskHost[]>();
    for (const {room} of sessions.all.values()) {
      const inPool = hosts.get(room.host.pool);
      if (inPool) inPool.push(room.host);
      else hosts.set(room.host.pool, [room.host]);
    }
    return new Map(
      [...hosts].map(([pool, inPool]) => [pool, sumCapacities(inPool)]),
    );
  }

  function placePool(pass: PlacementPass): void {
    const limit = createStartLimit({
      organisations: getOrganisations(),
      usage,
      onHeld: held => capLog.record(held),
    });
    const reservations = runPlacementPass(pass, limitProbes(limit), {
      getFilter,
      onUnplaced: (workflow, waiting) =>
        requestTickets(workflow, waiting, pass.rooms),
      start,
      onInvalid,
    });
    watch.review(pass.pool, reservations, pass.now).forEach(logLate);
  }

  /** Of a group that was refused, only a few tasks are started at a time. */
  function limitProbes(limit: StartLimit): StartLimit {
    return {
      ...limit,
      select(waiting) {
        const isRefused =
          waiting.length > MAX_PROBES &&
          !waiting[0].step.gang &&
          refusals.has(waiting[0].group);
        return limit.select(isRefused ? waiting.slice(0, MAX_PROBES) : waiting);
      },
    };
  }

  function logLate({
    reservation: {task, taskCount, hostIds, at},
    heldMs,
    promisedMs,
  }: LateReservation): void {
    log.warn('reservation slips', {
      request: task.workflow.id,
      first: task.name,
      tasks: taskCount,
      hosts: hostIds.length,
      host: hostIds[0],
      heldMs: Math.round(heldMs),
      promisedMs: Math.round(promisedMs),
      expectedInMs: Math.round(at - performance.now()),
    });
  }

  function getFilter(
    {advice}: Workflow,
    [{group}]: readonly TaskRecord[],
  ): (room: HostRoom) => boolean {
    if (!advice && !refusals.has(group)) return () => true;
    const now = performance.now();
    return ({host}) => {
      if (refusals.isHeld(group, host.id, now)) return false;
      return !advice || tickets.find(group, host.id) !== undefined;
    };
  }

  function requestTickets(
    {advice}: Workflow,
    waiting: readonly TaskRecord[],
    rooms: readonly HostRoom[],
  ): void {
    if (!advice) return;
    const hostIds = [...rooms]
      .sort((a, b) => b.free.cpuMillis - a.free.cpuMillis)
      .map(({host}) => host.id);
    tickets.request({
      step: waiting[0].group,
      hostIds,
      wanted: waiting.length,
      validMs: advice.validMs,
    });
  }

  function listTasks({host}: HostRoom): Iterable<TaskRecord> {
    return sessions.all.get(host.id)?.tasks.values() ?? [];
  }

  function start(record: WorkflowRecord, placed: readonly PlacedTask[]): void {
    const now = performance.now();
    for (const {task, room} of placed) {
      const {id, bornAt, address} = room.host;
      task.run += 1;
      task.phase = TaskPhase.Placed;
      const isWhole = task.checkpoint === '';
      const {run} = task;
      task.placement = createPlacement(id, bornAt, address, run, now, isWhole);
      sessions.all.get(id)?.add(task);
    }
    if (record.state === WorkflowState.Pending) {
      record.state = WorkflowState.Running;
    }
    log.info('placed', {
      request: record.workflow.id,
      decision: 'start',
      tasks: placed.length,
      first: placed[0].task.name,
      host: placed[0].room.host.id,
      waitedMs: unixNow() - record.acceptedAt,
    });
    store(record, () => {
      for (const {task, room} of placed) {
        const ticket = tickets.find(task.group, room.host.id) ?? '';
        onOrdered(task);
        sessions.all.get(room.host.id)?.start(task, ticket);
      }
    });
  }

  return {
    placeAll() {
      for (const [pool, candidates] of listCandidates()) {
        const usable = sessions.listUsable(pool);
        if (usable.length === 0) continue;
        placePool({
          pool,
          now: performance.now(),
          rooms: usable.map(session => session.room),
          candidates,
          runTimes,
          organisations: getOrganisations() ?? new Map(),
          usage,
          listTasks: looksAhead ? listTasks : undefined,
        });
      }
    },
  };
}

function hasWaiting(group: readonly TaskRecord[]): boolean {
  return group.some(({phase}) => phase === TaskPhase.Waiting);
}
