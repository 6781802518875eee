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
  /**
   * Records a decision: logs it, counts it and adds it to the recent decisions.
   */
  recordDecision(draft: DecisionDraft): void;
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
    recordDecision({kind, subject, pool, cause, inputs = {}}) {
      const at = Date.now();
      decisions.add({at, memberId, kind, subject, pool, cause, inputs});
      decisionCounter.inc({kind, pool});
      log.info(cause, {decision: kind, subject, pool, ...inputs});
    },
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
