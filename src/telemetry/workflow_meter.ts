import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {Log, LogContext} from './log';

/**
 * Metrics of an entry host that runs workflows; no label contains an id, which
 * keeps the number of time series bounded.
 */
export interface WorkflowMeter {
  /** Records the duration of a call in ms, by target, kind and outcome. */
  observeCall(target: string, call: string, outcome: string, ms: number): void;
  /** Counts a call that was turned away because of its API key. */
  countKeyRefusal(cause: string): void;
  /** Counts an error that no caller handled. */
  countUnexpectedError(activity: string): void;
  /**
   * Counts a task that is started again after a run that was given up without
   * its end, by the cause of that.
   */
  countRunRestart(cause: string): void;
  /** Counts a write to the log's output that failed. */
  countLogFailure(): void;
  /** Counts an error of a server, such as of a connection not accepted. */
  countServerError(server: string): void;
  /** Counts a reading of changed settings by its outcome. */
  countReload(outcome: string): void;
  /**
   * Wraps a log so that its lines are counted by message, decision and outcome,
   * except debug lines.
   */
  countLines(log: Log): Log;
  /** Sets the function that returns the number of callers' connections. */
  setConnectionReader(reader: () => number): void;
  /**
   * Sets the function that returns the pools' gauges; it is called on every
   * scrape.
   */
  setPoolReader(reader: () => readonly PoolGauge[]): void;
  /**
   * Sets the function that returns the organisations' gauges; it bounds their
   * number and is called on every scrape.
   */
  setOrganisationReader(reader: () => readonly OrganisationLoadGauge[]): void;
  /** Returns the metrics in Prometheus text format. */
  render(): Promise<string>;
}

/** Current load and free capacity of a pool. */
export interface PoolGauge {
  readonly pool: string;
  readonly waitingTasks: number;
  readonly placedTasks: number;
  readonly freeCpuMillis: number;
  readonly hosts: number;
}

/** Current load of an organisation. */
export interface OrganisationLoadGauge {
  readonly organisation: string;
  readonly runningCpuMillis: number;
  readonly openWorkflows: number;
  readonly waitingWorkflows: number;
  readonly longestWaitMs: number;
}

/**
 * Bucket bounds in seconds; cover the store's usual 4 ms up to 2 s of
 * long-polling calls.
 */
const CALL_BUCKETS_S = [
  0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5,
];

/** Creates the metrics of an entry host. */
export function createWorkflowMeter(): WorkflowMeter {
  const registry = new Registry();
  const registers = [registry];
  const calls = new Histogram({
    name: 'sesamefront_call_seconds',
    help: 'Time of calls by target, kind and outcome.',
    labelNames: ['target', 'call', 'outcome'],
    buckets: CALL_BUCKETS_S,
    registers,
  });
  const decisions = new Counter({
    name: 'sesamefront_workflow_decisions_total',
    help: 'Log lines by subject, decision and outcome.',
    labelNames: ['subject', 'decision', 'outcome'],
    registers,
  });
  const keyRefusals = new Counter({
    name: 'sesamefront_key_refusals_total',
    help: 'Calls turned away because of their API key, by cause.',
    labelNames: ['cause'],
    registers,
  });
  const unexpectedErrors = new Counter({
    name: 'sesamefront_unexpected_errors_total',
    help: 'Errors that no caller handled, by what failed.',
    labelNames: ['activity'],
    registers,
  });
  const runRestarts = new Counter({
    name: 'sesamefront_runs_started_again_total',
    help: 'Tasks started again after a run without a known end, by cause.',
    labelNames: ['cause'],
    registers,
  });
  const logFailures = new Counter({
    name: 'sesamefront_log_write_failures_total',
    help: "Writes to the log's output that failed.",
    registers,
  });
  const serverErrors = new Counter({
    name: 'sesamefront_server_errors_total',
    help: 'Errors of servers, such as connections not accepted, by server.',
    labelNames: ['server'],
    registers,
  });
  const reloads = new Counter({
    name: 'sesamefront_settings_reloads_total',
    help: 'Readings of changed settings by outcome.',
    labelNames: ['outcome'],
    registers,
  });
  const startTime = new Gauge({
    name: 'process_start_time_seconds',
    help: 'Start time of the process since the Unix epoch.',
    registers,
  });
  startTime.set(Date.now() / 1_000 - process.uptime());
  const residentMemory = new Gauge({
    name: 'process_resident_memory_bytes',
    help: 'Resident memory of the process.',
    registers,
  });
  const heapMemory = new Gauge({
    name: 'process_heap_bytes',
    help: 'Used heap of the process.',
    registers,
  });
  const callerConnections = new Gauge({
    name: 'sesamefront_caller_connections',
    help: 'Open connections of callers.',
    registers,
  });
  const gauges = {
    waitingTasks: createGauge(
      'waiting_tasks',
      'Tasks that could run and wait.',
    ),
    placedTasks: createGauge('placed_tasks', 'Tasks that are on a host.'),
    freeCpuMillis: createGauge(
      'free_cpu_millis',
      'Free thousandths of a processor on usable hosts.',
    ),
    hosts: createGauge('usable_hosts', 'Hosts that tasks may be started on.'),
  };

  const organisationGauges = {
    runningCpuMillis: createGauge(
      'running_cpu_millis',
      'Thousandths of a processor that may be running.',
      'organisation',
    ),
    openWorkflows: createGauge(
      'open_workflows',
      'Accepted workflows that have not ended.',
      'organisation',
    ),
    waitingWorkflows: createGauge(
      'waiting_workflows',
      'Open workflows of which no task has started.',
      'organisation',
    ),
    longestWaitMs: createGauge(
      'longest_wait_ms',
      'Longest wait of an open workflow for its first start.',
      'organisation',
    ),
  };

  function createGauge(name: string, help: string, label = 'pool'): Gauge {
    return new Gauge({
      name: `sesamefront_${label}_${name}`,
      help,
      labelNames: [label],
      registers,
    });
  }

  let readOrganisations: () => readonly OrganisationLoadGauge[] = () => [];
  let countConnections = (): number => 0;
  let readPools: () => readonly PoolGauge[] = () => [];

  function count(subject: string, fields: LogContext = {}): void {
    const decision = String(fields.decision ?? '');
    const outcome = String(fields.outcome ?? fields.failure ?? '');
    decisions.inc({subject, decision, outcome});
  }

  return {
    observeCall: (target, call, outcome, ms) =>
      calls.observe({target, call, outcome}, ms / 1_000),
    countKeyRefusal: cause => keyRefusals.inc({cause}),
    countUnexpectedError: activity => unexpectedErrors.inc({activity}),
    countRunRestart: cause => runRestarts.inc({cause}),
    countLogFailure: () => logFailures.inc(),
    countServerError: server => serverErrors.inc({server}),
    countReload: outcome => reloads.inc({outcome}),
    countLines: log => ({
      debug: (message, fields) => log.debug(message, fields),
      info(message, fields) {
        count(message, fields);
        log.info(message, fields);
      },
      warn(message, fields) {
        count(message, fields);
        log.warn(message, fields);
      },
      error(message, fields) {
        count(message, fields);
        log.error(message, fields);
      },
    }),
    setConnectionReader(reader) {
      countConnections = reader;
    },
    setPoolReader(reader) {
      readPools = reader;
    },
    setOrganisationReader(reader) {
      readOrganisations = reader;
    },
    render() {
      const {rss, heapUsed} = process.memoryUsage();
      residentMemory.set(rss);
      heapMemory.set(heapUsed);
      callerConnections.set(countConnections());
      for (const gauge of Object.values(gauges)) gauge.reset();
      for (const {pool, ...values} of readPools()) {
        gauges.waitingTasks.set({pool}, values.waitingTasks);
        gauges.placedTasks.set({pool}, values.placedTasks);
        gauges.freeCpuMillis.set({pool}, values.freeCpuMillis);
        gauges.hosts.set({pool}, values.hosts);
      }
      for (const gauge of Object.values(organisationGauges)) gauge.reset();
      for (const {organisation, ...values} of readOrganisations()) {
        const label = {organisation};
        organisationGauges.runningCpuMillis.set(label, values.runningCpuMillis);
        organisationGauges.openWorkflows.set(label, values.openWorkflows);
        organisationGauges.waitingWorkflows.set(label, values.waitingWorkflows);
        organisationGauges.longestWaitMs.set(label, values.longestWaitMs);
      }
      return registry.metrics();
    },
  };
}
