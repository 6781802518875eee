import fc from 'fast-check';
import {Result} from 'true-myth';
import {
  CancelOutcome,
  Intake,
  SubmitOutcome,
  WITHDRAWAL_PREFIX,
  createIntake,
  getCancelKey,
  getWorkKey,
} from '../../src/actors/workflows';
import {isVisible} from '../../src/decisions/workflows';
import {Store, StoreFailure} from '../../src/ports';
import {
  KeyValue,
  createKeyValue,
  createMemoryStore,
  createStoreFaults,
} from '../../src/stand_ins/platform';
import {delay} from '../../src/state';
import {LogLevel, createLog} from '../../src/telemetry';
import {Caller, Workflow} from '../../src/types/workflow';
import {advance} from '../support/paused_clock';
import {ANYBODY, QUEUE, createSpec, createStep} from './workflow_world';

enum CallKind {
  Submit = 'submit',
  Cancel = 'cancel',
}

const ID = '5c0e7a21d94b36f8';
const CALLERS: readonly Caller[] = [
  ANYBODY,
  createCaller('acme'),
  createCaller('other'),
];
const HOST_COUNT = 2;
/** Time in ms after which a call whose answer is lost fails. */
const LOSS_MS = 100;
/** Time in ms between two copies of a doubled write. */
const COPY_MS = 700;
/** Time in ms within which each call and late write has ended. */
const SETTLE_MS = 15_000;

/** What happens to one write. */
const generateWrite = fc.record({
  lateMs: fc.constantFrom(0, 0, 0, 300, 2_000, 6_000),
  isLost: fc.nat(9).map(n => n === 0),
  isDoubled: fc.nat(4).map(n => n === 0),
  isAnswered: fc.nat(2).map(n => n > 0),
});

const generateCall = fc.record({
  kind: fc.constantFrom(...Object.values(CallKind)),
  host: fc.nat(HOST_COUNT - 1),
  caller: fc.nat(CALLERS.length - 1),
  pauseMs: fc.constantFrom(0, 5, 400, 1_500, 4_000),
});

const generateHistory = fc.record({
  writes: fc.array(generateWrite, {minLength: 60, maxLength: 60}),
  calls: fc.array(generateCall, {minLength: 2, maxLength: 7}),
});

type Write = typeof generateWrite extends fc.Arbitrary<infer T> ? T : never;
type Call = typeof generateCall extends fc.Arbitrary<infer T> ? T : never;
type Outcome = SubmitOutcome | CancelOutcome;

/** A call with its outcome. */
interface FinishedCall extends Call {
  readonly outcome: Outcome;
}

/** Number of outcomes in random histories, and what was wrong in them. */
export interface CancellationReport {
  readonly outcomes: Readonly<Record<string, number>>;
  readonly violations: readonly string[];
}

/**
 * Plays submissions and cancellations of one id while writes are late, lost and
 * doubled, and checks what is stored in the end.
 */
export async function playCancellations(
  count: number,
  seed: number,
): Promise<CancellationReport> {
  const outcomes: Record<string, number> = {};
  const violations: string[] = [];
  const histories = fc.sample(generateHistory, {numRuns: count, seed});
  for (const [number, {writes, calls}] of histories.entries()) {
    const keyValue = createKeyValue();
    const finished = await play(keyValue, writes, calls);
    for (const {kind, outcome} of finished) {
      const name = `${kind} ${outcome}`;
      outcomes[name] = (outcomes[name] ?? 0) + 1;
    }
    const found = check(keyValue, finished);
    violations.push(...found.map(text => `history ${number}: ${text}`));
    keyValue.dispose();
  }
  return {outcomes, violations};
}

async function play(
  keyValue: KeyValue,
  writes: readonly Write[],
  calls: readonly Call[],
): Promise<readonly FinishedCall[]> {
  let written = 0;
  const next = () => writes[written++ % writes.length];
  const intakes = Array.from({length: HOST_COUNT}, () =>
    createIntakeWith(createLossyStore(keyValue, next)),
  );
  const finished: FinishedCall[] = [];
  for (const call of calls) {
    void run(intakes[call.host], call).then(outcome =>
      finished.push({...call, outcome}),
    );
    await advance(call.pauseMs);
  }
  await advance(SETTLE_MS);
  return finished;
}

async function run(intake: Intake, call: Call): Promise<Outcome> {
  const caller = CALLERS[call.caller];
  if (call.kind === CallKind.Cancel) return intake.cancel(QUEUE, ID, caller);
  const draft = {
    spec: createSpec(),
    steps: [createStep()],
    occurrences: 1,
    firstAt: 0,
    intervalMs: 0,
  };
  const {outcome} = await intake.submit(QUEUE, ID, draft, caller);
  return outcome;
}

function createIntakeWith(store: Store): Intake {
  return createIntake({
    store,
    whenConnected: async () => true,
    getLoad: () => undefined,
    getLoadAgeMs: () => 0,
    unixNow: () => Date.now(),
    log: createLog({}, LogLevel.Error),
  });
}

/** Creates a store whose writes take effect and are answered as generated. */
function createLossyStore(keyValue: KeyValue, next: () => Write): Store {
  return {
    ...createMemoryStore(keyValue, createStoreFaults()),
    async transact(transaction) {
      const {lateMs, isLost, isDoubled, isAnswered} = next();
      const apply = () => keyValue.transact(transaction);
      if (isDoubled && !isLost) setTimeout(apply, lateMs + COPY_MS);
      if (lateMs > 0 && !isLost) setTimeout(apply, lateMs);
      if (lateMs === 0 && !isLost) {
        const result = apply();
        if (isAnswered) return Result.ok(result);
      }
      await delay(LOSS_MS);
      return Result.err(StoreFailure.AnswerLost);
    },
  };
}

function check(
  keyValue: KeyValue,
  calls: readonly FinishedCall[],
): readonly string[] {
  const entry = keyValue.get(getWorkKey(ID));
  const workflow = entry && (JSON.parse(entry.value) as Workflow);
  const isCancelled = keyValue.get(getCancelKey(ID)) !== undefined;
  const violations: string[] = [];
  for (const {kind, caller: index, outcome} of calls) {
    const caller = CALLERS[index];
    const isOwn = workflow && isVisible(workflow, QUEUE, caller);
    const ends =
      outcome === CancelOutcome.Cancelled ||
      (kind === CallKind.Cancel && outcome === CancelOutcome.Withdrawn);
    if (ends && isOwn && !isCancelled) {
      violations.push(`the cancelled workflow of ${index} runs on`);
    }
    if (kind !== CallKind.Submit || outcome !== SubmitOutcome.Withdrawn) {
      continue;
    }
    const organisation = caller.organisation?.name;
    if (workflow && workflow.organisation === organisation) {
      violations.push(`the refused workflow of ${index} is stored`);
    }
    const mayHaveCancelled = calls.some(
      other =>
        other.kind === CallKind.Cancel &&
        isVisible(
          {queue: QUEUE.name, organisation},
          QUEUE,
          CALLERS[other.caller],
        ),
    );
    if (!mayHaveCancelled) {
      violations.push(`the workflow of ${index} was stopped by others`);
    }
  }
  if (calls.every(({kind}) => kind === CallKind.Submit)) {
    if (keyValue.list(WITHDRAWAL_PREFIX).entries.length > 0) {
      violations.push('withdrawn without a cancellation');
    }
  }
  return violations;
}

function createCaller(name: string): Caller {
  const cap = {cpuMillis: 0, memoryMb: 0, accelerators: 0};
  return {organisation: {name, keyDigests: [], priority: 0, weight: 1, cap}};
}
