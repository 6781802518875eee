import {Outcome} from '../../types';
import {RequestAnswer} from './request_answer';
import {RequestAttempt} from './request_attempt';
import {RequestHistory} from './request_history';
import {RequestRun} from './request_run';
import {RequestViolation} from './request_violation';
import {RequestViolationKind} from './request_violation_kind';

/**
 * Checks a history of concurrent requests.
 *
 * @param history requests sent, runs at workers and answers received
 * @returns all violations; empty if the history is correct
 */
export function checkRequests(
  history: RequestHistory,
): readonly RequestViolation[] {
  const attempts = new Map(history.attempts.map(a => [a.requestId, a]));
  const runs = groupBy(history.runs, run => run.requestId);
  const runsByKey = groupBy(history.runs, run => run.idempotencyKey);
  const answers = groupBy(history.answers, answer => answer.requestId);
  return [
    ...findDuplicateRuns(history, runs, runsByKey),
    ...[...answers].flatMap(([requestId, given]) =>
      findExtraAnswers(requestId, given),
    ),
    ...history.answers.flatMap(answer =>
      checkAnswer(answer, attempts.get(answer.requestId), runs, runsByKey),
    ),
  ];
}

/** Runs by request id or by idempotency key. */
type Runs = ReadonlyMap<string, readonly RequestRun[]>;

function findDuplicateRuns(
  {attempts}: RequestHistory,
  runs: Runs,
  runsByKey: Runs,
): readonly RequestViolation[] {
  const nonIdempotent = attempts.filter(attempt => !attempt.idempotent);
  const keys = new Set(nonIdempotent.flatMap(a => a.idempotencyKey ?? []));
  const ids = nonIdempotent.map(attempt => attempt.requestId);
  return [
    ...[...keys].flatMap(key => findRepeatedRuns(key, runsByKey.get(key))),
    ...ids.flatMap(id => findRepeatedRuns(id, runs.get(id))),
  ];
}

function findRepeatedRuns(
  subject: string,
  runs: readonly RequestRun[] = [],
): readonly RequestViolation[] {
  if (runs.length <= 1) return [];
  const hosts = runs.map(run => run.hostId).join(', ');
  const detail = `ran ${runs.length} times, on ${hosts}`;
  return [{kind: RequestViolationKind.DuplicateRun, subject, detail}];
}

function findExtraAnswers(
  subject: string,
  answers: readonly RequestAnswer[],
): readonly RequestViolation[] {
  if (answers.length <= 1) return [];
  const detail = `${answers.length} answers to one attempt`;
  return [{kind: RequestViolationKind.DuplicateAnswer, subject, detail}];
}

function checkAnswer(
  answer: RequestAnswer,
  attempt: RequestAttempt | undefined,
  runs: Runs,
  runsByKey: Runs,
): readonly RequestViolation[] {
  const {requestId: subject, outcome, complete, content} = answer;
  const runsOfRequest = runs.get(subject) ?? [];
  const key = attempt?.idempotencyKey;
  const runsOfKey = key === undefined ? [] : (runsByKey.get(key) ?? []);
  if (outcome === Outcome.NotRun && runsOfRequest.length > 0) {
    const detail = `reported as not run, but ran on ${runsOfRequest[0].hostId}`;
    return [{kind: RequestViolationKind.FalseNotRun, subject, detail}];
  }
  if (outcome !== Outcome.Run) return [];
  if (runsOfRequest.length + runsOfKey.length === 0) {
    const detail = 'reported as run, but no worker ran it';
    return [{kind: RequestViolationKind.FalseRun, subject, detail}];
  }
  if (!complete) return [];
  if (content === undefined) {
    const detail = 'an answer with an unreadable body was reported as complete';
    return [{kind: RequestViolationKind.TruncatedAnswer, subject, detail}];
  }
  if (content === attempt?.content) return [];
  const detail = `requested ${attempt?.content}, got the answer to ${content}`;
  return [{kind: RequestViolationKind.WrongAnswer, subject, detail}];
}

function groupBy<T>(
  items: readonly T[],
  keyOf: (item: T) => string | undefined,
): ReadonlyMap<string, readonly T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const key = keyOf(item);
    if (key === undefined) continue;
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  }
  return groups;
}
