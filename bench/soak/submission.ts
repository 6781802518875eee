import {readDraft} from '../../platform/submission';
import {TaskBehaviour} from '../../src/stand_ins/fleet';
import {Workflow} from '../../src/types/workflow';
import {ORGANISATIONS, SoakOrganisation} from './organisations';
import {Random} from './random';

/** How a call ended, as its caller saw it. */
export enum CallEnd {
  Answered = 'answered',
  /** The connection ended without a complete answer. */
  Cut = 'cut',
  TimedOut = 'timed-out',
}

/** A workflow and what its caller knows of it. */
export interface Submission {
  readonly id: string;
  readonly path: string;
  readonly body: string;
  readonly workflow: Workflow;
  readonly organisation: SoakOrganisation | undefined;
  /** Attempts that are under way. */
  openAttempts: number;
  /** Whether an attempt ended without a refusal or before an answer. */
  maybeStored: boolean;
  /** Whether the caller has given up after refusals only. */
  refused: boolean;
  acceptedAt?: number;
  cancelSentAt?: number;
  cancelledAt?: number;
  /** Final state that a caller was shown. */
  finalState?: string;
}

/** Queues by name with their pools; each has the prefix "/NAME/". */
export const QUEUES = new Map([
  ['quotes', 'planner'],
  ['orders', 'desk'],
  ['open', 'planner'],
]);
/** States that a workflow doesn't leave. */
export const FINAL_STATES = ['completed', 'failed', 'cancelled'];
/** Queue whose callers need no key. */
export const PUBLIC_QUEUE = 'open';
/** Failed runs of a task after which its workflow fails. */
export const MAX_ATTEMPTS = 3;
/** Host name that callers address. */
export const AUTHORITY = 'soak.example';

/** Draws a small workflow. */
export function drawSubmission(random: Random, number: number): Submission {
  const queue = random.pick([...QUEUES.keys()]);
  const organisation =
    queue === PUBLIC_QUEUE ? undefined : drawOrganisation(random);
  const gangSize = random.chance(0.1) ? 2 : 0;
  const workMs = random.between(50, 900);
  const behaviour: TaskBehaviour = {
    workMs,
    cpuMillis: random.between(200, 3_000),
    memoryMb: random.between(64, 2_048),
    failures: random.chance(0.08) ? random.between(1, MAX_ATTEMPTS) : 0,
    gangSize,
  };
  const stepCount = gangSize > 0 ? 1 : random.between(1, 3);
  const steps = Array.from({length: stepCount}, (_, index) => ({
    count: gangSize || random.between(1, 4),
    cpu: behaviour.cpuMillis,
    memMb: behaviour.memoryMb,
    estimateMs: Math.round(workMs * (0.5 + random.next())),
    ...(index > 0 ? {after: [index - 1]} : {}),
    ...(gangSize > 0 ? {gang: true} : {}),
  }));
  return createSubmission(number, queue, organisation, behaviour, steps);
}

/** Returns a service of lasting tasks, of which some may be away at once. */
export function createService(number: number, mayMiss: number): Submission {
  const behaviour = {workMs: 0, cpuMillis: 500, memoryMb: 64, lasting: true};
  const step = {count: 4, cpu: behaviour.cpuMillis, memMb: behaviour.memoryMb};
  return createSubmission(
    number,
    PUBLIC_QUEUE,
    undefined,
    {...behaviour, startupMs: 400},
    [{...step, longRunning: true, maxPerServer: 2, mayMiss}],
  );
}

function createSubmission(
  number: number,
  queue: string,
  organisation: SoakOrganisation | undefined,
  behaviour: TaskBehaviour,
  steps: readonly object[],
): Submission {
  const id = number.toString(16).padStart(16, '0');
  const body = JSON.stringify({spec: JSON.stringify(behaviour), steps});
  const draft = readDraft(body);
  if (!draft) throw new Error('the soak drew an invalid workflow');
  return {
    id,
    path: `/${queue}/${id}`,
    body,
    workflow: {
      ...draft,
      id,
      queue,
      ...(organisation ? {organisation: organisation.name} : {}),
      pool: QUEUES.get(queue) ?? '',
      priority: 0,
      maxAttempts: MAX_ATTEMPTS,
      stretch: 2,
      targetDurationMs: 600,
      acceptedAt: 0,
    },
    organisation,
    openAttempts: 0,
    maybeStored: false,
    refused: false,
  };
}

/** Draws an organisation by its weight. */
function drawOrganisation(random: Random): SoakOrganisation {
  return random.pick(
    ORGANISATIONS.flatMap(each => new Array(each.weight).fill(each)),
  );
}

/** Returns the names of all tasks of a workflow. */
export function listTasks({id, steps}: Workflow): readonly string[] {
  return steps.flatMap(({taskCount}, step) =>
    Array.from({length: taskCount}, (_, index) => `${id}.0.${step}.${index}`),
  );
}
