import {randomUUID} from 'node:crypto';
import {
  WorkflowRecord,
  encodeProgress,
  encodeState,
  isFinal,
} from '../../decisions/workflows';
import {Store, StoreEntry, StoreFailure, StorePut} from '../../ports';
import {createPatience, delay} from '../../state';
import {LEADER_KEY, LEDGER_KEY, getProgressKey, getStateKey} from './keys';

/** Stores the progress of workflows in one order, under the leader's term. */
export interface Ledger {
  /**
   * Stores a changed workflow soon, together with others.
   *
   * @param effect called once this change, or a later one, is stored
   */
  store(record: WorkflowRecord, effect?: () => void): void;
  /** Deletes the keys of workflows that are no longer kept. */
  remove(keys: readonly string[]): void;
  dispose(): void;
}

/** What the ledger needs. */
export interface LedgerOptions {
  readonly store: Store;
  /** Revision of the leader's key, on which each write depends. */
  readonly fence: number;
  /** Revision of the ledger's key at the start of the term; 0 if there is none. */
  readonly ledgerVersion: number;
  /** The term has ended: another leader writes. */
  readonly onFenced: () => void;
}

interface Effect {
  readonly record: WorkflowRecord;
  readonly version: number;
  readonly run: () => void;
}

/** What is stored of a workflow, as text. */
interface StoredTexts {
  readonly version: number;
  readonly state: string;
  /** undefined once the workflow has ended. */
  readonly progress: string | undefined;
}

interface Attempt {
  readonly texts: ReadonlyMap<WorkflowRecord, StoredTexts>;
  readonly removals: readonly string[];
}

/** Entries of a transaction that the store accepts, less two conditions and the ledger's key. */
const MAX_ENTRIES = 29;
/** Entries that one workflow takes at the most: its state and its progress. */
const MAX_ENTRIES_PER_WORKFLOW = 2;
/** Wait in ms before a write that is not in a hurry, so that changes share it. */
const BATCH_DELAY_MS = 3;
/** Wait in ms after a write that failed. */
const RETRY_MS = 100;

/**
 * Creates the ledger of a term.
 *
 * One write is waited for at a time. Each replaces the ledger's key under the
 * condition that it is as the last one left it, so a write whose answer was
 * lost either took effect before the next one or never does.
 *
 * @param options store and term
 */
export function createLedger({
  store,
  fence,
  ledgerVersion,
  onFenced,
}: LedgerOptions): Ledger {
  const dirty = new Set<WorkflowRecord>();
  const removals = new Set<string>();
  const storeTimeout = createPatience();
  const storedTexts = new WeakMap<WorkflowRecord, StoredTexts>();
  let effects: Effect[] = [];
  let version = ledgerVersion;
  /** Writes without an answer since the version, by token. */
  const attempts = new Map<string, Attempt>();
  let writing = false;
  let stopped = false;

  async function write(): Promise<void> {
    writing = true;
    await delay(BATCH_DELAY_MS);
    while (!stopped && (dirty.size > 0 || removals.size > 0)) {
      const written = await writeOnce();
      if (!written) await delay(RETRY_MS);
    }
    writing = false;
  }

  async function writeOnce(): Promise<boolean> {
    const token = randomUUID();
    const texts = new Map<WorkflowRecord, StoredTexts>();
    const puts: StorePut[] = [{key: LEDGER_KEY, value: JSON.stringify(token)}];
    const ended: string[] = [];
    for (const record of dirty) {
      if (puts.length + ended.length > MAX_ENTRIES - MAX_ENTRIES_PER_WORKFLOW)
        break;
      const text = encode(record);
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
    const result = await storeTimeout.wait(() => store.transact(transaction));
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

  /** Adds what differs from what is stored; the progress of an ended workflow goes. */
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

  /** A condition did not hold: an own write took effect after all, or the term has ended. */
  function reconcile(found: readonly StoreEntry[]): boolean {
    const leader = found.find(entry => entry.key === LEADER_KEY);
    const last = found.find(entry => entry.key === LEDGER_KEY);
    const own = last && attempts.get(JSON.parse(last.value) as string);
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
    for (const effect of due) effect.run();
  }

  function start(): void {
    if (!writing && !stopped) void write();
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

function encode(record: WorkflowRecord): StoredTexts {
  return {
    version: record.version,
    state: JSON.stringify(encodeState(record)),
    progress: isFinal(record.state)
      ? undefined
      : JSON.stringify(encodeProgress(record)),
  };
}
