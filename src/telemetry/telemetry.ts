import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {
  Decision,
  DecisionKind,
  Outcome,
  RefusalReason,
  RetryReason,
} from '../types';
import {DecisionRing, createDecisionRing} from './decision_ring';
import {Log, createLog} from './log';
import {LogLevel} from './log_level';
import {UnexpectedErrors, createUnexpectedErrors} from './unexpected_errors';

/** A decision to be recorded; the telemetry adds the member and the time. */
export interface DecisionDraft {
  readonly kind: DecisionKind;
  readonly subject: string;
  readonly pool: string;
  readonly cause: string;
  readonly inputs?: Decision['inputs'];
}

/** Log, metrics and recent decisions of a member. */
export interface Telemetry {
  readonly log: Log;
  readonly registry: Registry;
  readonly decisions: DecisionRing;
  readonly errors: UnexpectedErrors;
  /**
   * Records a decision: logs it, counts it and adds it to the recent decisions.
   */
  recordDecision(draft: DecisionDraft): void;
  /**
   * Logs and counts an entry from outside that is ignored, once for each cause.
   *
   * @param source where the entry comes from; from a small fixed set
   * @param id key or name of the entry
   * @param cause why it can't be used
   */
  reportInvalidEntry(source: string, id: string, cause: string): void;
  /** Counts a write to the log's output that failed. */
  countLogFailure(): void;
  /** Counts a refusal. */
  countRefusal(service: string, reason: RefusalReason): void;
  /** Counts a retry. */
  countRetry(service: string, reason: RetryReason): void;
  /** Records the time to an answer, in seconds. */
  observeAnswer(service: string, outcome: Outcome, seconds: number): void;
  /** Sets a gauge of a pool; the gauge is registered on first use. */
  setGauge(name: string, help: string, pool: string, value: number): void;
}

const RING_LIMIT = 5_000;
/** Number of invalid entries that are remembered. */
const MAX_INVALID_ENTRIES = 4_096;
const LATENCY_BUCKETS_S = [
  0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10,
];

/**
 * Creates the telemetry of a member.
 *
 * @param memberId id of the member, which every log line has
 * @param level minimum level of the lines that are written
 */
export function createTelemetry(
  memberId: string,
  level: LogLevel = LogLevel.Info,
): Telemetry {
  const registry = new Registry();
  const log = createLog({member: memberId}, level);
  const decisions = createDecisionRing(RING_LIMIT);
  const gauges = new Map<string, Gauge>();
  const invalidEntries = new Set<string>();
  const decisionCounter = createCounter('decisions', 'Decisions by kind.', [
    'kind',
    'pool',
  ]);
  const refusalCounter = createCounter('refusals', 'Refusals by reason.', [
    'service',
    'reason',
  ]);
  const retryCounter = createCounter('retries', 'Retries by reason.', [
    'service',
    'reason',
  ]);
  const errorCounter = createCounter(
    'unexpected_errors',
    'Errors that no caller handled, by what failed.',
    ['activity'],
  );
  const invalidEntryCounter = createCounter(
    'invalid_entries',
    'Entries from outside that were ignored, by source.',
    ['source'],
  );
  const logFailureCounter = createCounter(
    'log_write_failures',
    "Writes to the log's output that failed.",
    [],
  );
  const answerSeconds = new Histogram({
    name: 'sesamefront_answer_seconds',
    help: 'Time to the whole answer by outcome.',
    labelNames: ['service', 'outcome'],
    buckets: LATENCY_BUCKETS_S,
    registers: [registry],
  });

  function createCounter(
    name: string,
    help: string,
    labelNames: string[],
  ): Counter {
    return new Counter({
      name: `sesamefront_${name}_total`,
      help,
      labelNames,
      registers: [registry],
    });
  }

  return {
    log,
    registry,
    decisions,
    errors: createUnexpectedErrors(log, activity =>
      errorCounter.inc({activity}),
    ),
    reportInvalidEntry(source, id, cause) {
      const name = `${source} ${id} ${cause}`;
      if (invalidEntries.has(name)) return;
      if (invalidEntries.size >= MAX_INVALID_ENTRIES) invalidEntries.clear();
      invalidEntries.add(name);
      invalidEntryCounter.inc({source});
      log.warn('invalid entry', {source, id, cause, decision: 'ignore'});
    },
    recordDecision({kind, subject, pool, cause, inputs = {}}) {
      const at = Date.now();
      decisions.add({at, memberId, kind, subject, pool, cause, inputs});
      decisionCounter.inc({kind, pool});
      log.info(cause, {decision: kind, subject, pool, ...inputs});
    },
    countLogFailure: () => logFailureCounter.inc(),
    countRefusal: (service, reason) => refusalCounter.inc({service, reason}),
    countRetry: (service, reason) => retryCounter.inc({service, reason}),
    observeAnswer: (service, outcome, seconds) =>
      answerSeconds.observe({service, outcome}, seconds),
    setGauge(name, help, pool, value) {
      let gauge = gauges.get(name);
      if (!gauge) {
        gauge = new Gauge({
          name: `sesamefront_${name}`,
          help,
          labelNames: ['pool'],
          registers: [registry],
        });
        gauges.set(name, gauge);
      }
      gauge.set({pool}, value);
    },
  };
}
