import {randomUUID} from 'node:crypto';
import {
  WorkflowRecord,
  encodeProgress,
  encodeState,
  hasPlacedTask,
  isFinal,
} from '../../decisions/workflows';
import {Store, StoreEntry, StoreFailure, StorePut} from '../../ports';
import {createAdaptiveTimeout, delay, runInBackground} from '../../state';
import {LEADER_KEY, LEDGER_KEY, getProgressKey, getStateKey} from './keys';
import {TermErrors} from './term_errors';

/**
 * Writes workflow states and progress to the store in sequence, fenced by the
 * leader's term.
 */
export interface Ledger {
  /**
   * Schedules a changed workflow to be stored, batched with other changes.
   *
   * @param effect called once this or a later version of the record is stored
   */
  store(record: WorkflowRecord, effect?: () => void): void;
  /** Schedules the deletion of keys of expired workflows. */
  remove(keys: readonly string[]): void;
  dispose(): void;
}

/** Dependencies and settings of a ledger. */
export interface LedgerOptions {
  readonly store: Store;
  /** Revision of the leader key; a condition of each write. */
  readonly fence: number;
  /**
   * Revision of the ledger key at the start of the term; 0 if it does not
   * exist.
   */
  readonly ledgerVersion: number;
  /** Called when a write shows that the term has ended. */
  readonly onFenced: () => void;
  readonly errors: TermErrors;
  /** Called when a record cannot be encoded; it is not stored. */
  readonly onInvalid: (record: WorkflowRecord, error: unknown) => void;
}

/** A callback to run once a version of a record is stored. */
interface Effect {
  readonly record: WorkflowRecord;
  readonly version: number;
  readonly run: () => void;
}

/** A workflow's state and progress as stored text. */
interface StoredTexts {
  readonly version: number;
  readonly state: string;
  /** Undefined once the workflow and all of its runs have ended. */
  readonly progress: string | undefined;
}

/** Contents of a write whose outcome is not known yet. */
interface Attempt {
  readonly texts: ReadonlyMap<WorkflowRecord, StoredTexts>;
  readonly removals: readonly string[];
}

/**
 * Maximum puts and removals per transaction: the store's limit on entries, less
 * the two conditions and the put of the ledger key.
 */
const MAX_ENTRIES = 29;
/** Maximum entries per workflow: its state and its progress. */
const WORKFLOW_ENTRIES = 2;
/** Maximum size of a stored value in bytes. */
const MAX_VALUE_BYTES = 1_048_576;
/** Maximum bytes of one character in a stored value. */
const MAX_CHARACTER_BYTES = 3;
/**
 * Length in characters of the values of a transaction from which no further
 * workflow is added.
 */
const MAX_TEXT_LENGTH = 1_000_000;
/**
 * Delay in ms before writing, so that several changes share one transaction.
 */
const BATCH_DELAY_MS = 3;
/** Delay after a failed write, in ms. */
const RETRY_MS = 100;

/**
 * Creates the ledger of a term.
 *
 * Writes are sequential. Each replaces the ledger key on the condition that it
 * still has the revision of the last known write, so a write whose answer was
 * lost has either taken effect before the next one or never will.
 *
 * @param options the store and the term
 */
export function createLedger({
  store,
  fence,
  ledgerVersion,
  onFenced,
  errors,
  onInvalid,
}: LedgerOptions): Ledger {
  const dirty = new Set<WorkflowRecord>();
  const removals = new Set<string>();
  const storeTimeout = createAdaptiveTimeout();
  const storedTexts = new WeakMap<WorkflowRecord, StoredTexts>();
  let effects: Effect[] = [];
  let version = ledgerVersion;
  /** Unanswered writes based on the current `version`, by token. */
  const attempts = new Map<string, Attempt>();
  let writing = false;
  let stopped = false;

  async function write(): Promise<void> {
    writing = true;
    try {
      await delay(BATCH_DELAY_MS);
      while (!stopped && (dirty.size > 0 || removals.size > 0)) {
        const written = await writeOnce();
        if (!written) await delay(RETRY_MS);
      }
    } finally {
      writing = false;
    }
  }

  function tryEncode(record: WorkflowRecord): StoredTexts | undefined {
    try {
      return encode(record);
    } catch (error) {
      dirty.delete(record);
      onInvalid(record, error);
      return undefined;
    }
  }

  async function writeOnce(): Promise<boolean> {
    const token = randomUUID();
    const texts = new Map<WorkflowRecord, StoredTexts>();
    const puts: StorePut[] = [{key: LEDGER_KEY, value: JSON.stringify(token)}];
    const ended: string[] = [];
    let textLength = 0;
    for (const record of dirty) {
      if (puts.length + ended.length > MAX_ENTRIES - WORKFLOW_ENTRIES) break;
      if (textLength >= MAX_TEXT_LENGTH) break;
      const text = tryEncode(record);
      if (!text) continue;
      textLength += text.state.length + (text.progress?.length ?? 0);
      texts.set(record, text);
      addChanges(record, text, puts, ended);
    }
    const left = Math.max(0, MAX_ENTRIES - puts.length - ended.length);
    const attempt: Attempt = {
      texts,
      removals: [...removals].slice(0, left),
    };
    attempts.set(token, attempt);
    const transaction = {
      conditions: new Map([
        [LEADER_KEY, fence],
        [LEDGER_KEY, version],
      ]),
      puts,
      removals: [...ended, ...attempt.removals],
    };
    const result = await storeTimeout.run(() => store.transact(transaction));
    if (stopped) return true;
    if (result.isErr) {
      if (result.error !== StoreFailure.AnswerLost) attempts.delete(token);
      return false;
    }
    if (result.value.applied) {
      settle(attempt, result.value.revision);
      return true;
    }
    attempts.delete(token);
    return reconcile(result.value.found);
  }

  /**
   * Adds the entries that differ from the stored ones; deletes the progress of
   * an ended workflow.
   */
  function addChanges(
    record: WorkflowRecord,
    {state, progress}: StoredTexts,
    puts: StorePut[],
    ended: string[],
  ): void {
    const {id} = record.workflow;
    const before = storedTexts.get(record);
    if (state !== before?.state) {
      puts.push({key: getStateKey(id), value: state});
    }
    if (before && progress === before.progress) return;
    const key = getProgressKey(id);
    if (progress === undefined) ended.push(key);
    else puts.push({key, value: progress});
  }

  /**
   * Handles a failed condition: either an earlier unanswered write of this
   * ledger took effect, or the term has ended.
   */
  function reconcile(found: readonly StoreEntry[]): boolean {
    const leader = found.find(entry => entry.key === LEADER_KEY);
    const last = found.find(entry => entry.key === LEDGER_KEY);
    const own = last && attempts.get(readToken(last));
    if (leader?.version !== fence || !last || !own) {
      stopped = true;
      onFenced();
      return false;
    }
    settle(own, last.version);
    return true;
  }

  function settle(attempt: Attempt, newVersion: number): void {
    version = newVersion;
    attempts.clear();
    for (const key of attempt.removals) removals.delete(key);
    for (const [record, text] of attempt.texts) {
      storedTexts.set(record, text);
      record.storedVersion = Math.max(record.storedVersion, text.version);
      if (record.version === text.version) dirty.delete(record);
    }
    const due: Effect[] = [];
    const later: Effect[] = [];
    for (const effect of effects) {
      const isDue = effect.record.storedVersion >= effect.version;
      (isDue ? due : later).push(effect);
    }
    effects = later;
    for (const {run} of due) {
      runInBackground(run, error => errors.report('order', error));
    }
  }

  function start(): void {
    if (!writing && !stopped) errors.run('ledger', write);
  }

  return {
    store(record, effect) {
      record.version += 1;
      dirty.add(record);
      if (effect) effects.push({record, version: record.version, run: effect});
      start();
    },
    remove(keys) {
      for (const key of keys) removals.add(key);
      start();
    },
    dispose() {
      stopped = true;
      dirty.clear();
      effects = [];
    },
  };
}

/** Returns an empty token if the entry is not one of a ledger. */
function readToken({value}: StoreEntry): string {
  try {
    return String(JSON.parse(value));
  } catch {
    return '';
  }
}

function encode(record: WorkflowRecord): StoredTexts {
  return {
    version: record.version,
    state: JSON.stringify(encodeState(record)),
    // Runs of an ended workflow count for its organisation until they stop.
    progress:
      isFinal(record.state) && !hasPlacedTask(record)
        ? undefined
        : encodeWithinLimit(record),
  };
}

/**
 * Returns the progress as text, without checkpoints if it would be too long for
 * the store.
 */
function encodeWithinLimit(record: WorkflowRecord): string {
  const whole = JSON.stringify(encodeProgress(record));
  if (isStorable(whole)) return whole;
  const reduced = JSON.stringify(encodeProgress(record, false));
  if (isStorable(reduced)) return reduced;
  throw new Error('the progress is too long for the store');
}

function isStorable(text: string): boolean {
  if (text.length * MAX_CHARACTER_BYTES <= MAX_VALUE_BYTES) return true;
  return Buffer.byteLength(text) <= MAX_VALUE_BYTES;
}
