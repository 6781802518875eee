import {ActorSystemRef, Ref, dispatch} from 'nact';
import {Result} from 'true-myth';
import {
  MAX_ACCEPTANCES,
  checkProfileSet,
  diffProfiles,
  findAcceptance,
  listAcceptances,
  getNewerConfiguration,
} from '../../decisions/configuration';
import {configurationFormat, decodeText} from '../../formats';
import {AnyPeerHandler, Peers, Store, StoreEntry} from '../../ports';
import {
  Mirror,
  ObservableValue,
  WriteOutcome,
  createMirror,
  createObservableValue,
  delay,
  runInBackground,
  write,
} from '../../state';
import {Telemetry} from '../../telemetry';
import {
  Acceptance,
  Configuration,
  DecisionKind,
  Member,
  RefusalReason,
} from '../../types';
import {createActor} from '../shared';
import {ConfigurationChange} from './configuration_change';
import {ChangeRefusal} from './change_refusal';
import {createConfigurationHistory} from './configuration_history';
import {createGossip} from './gossip';

/** The active configuration of this member and operations on it. */
export interface ConfigurationActor {
  /** The highest revision observed; undefined until the first one. */
  readonly current: ObservableValue<Configuration | undefined>;
  /** Handlers of calls by other members. */
  readonly handlers: readonly AnyPeerHandler[];
  /**
   * Stores a change and resolves to the new configuration or the reason for a
   * refusal.
   */
  apply(
    change: ConfigurationChange,
  ): Promise<Result<Configuration, ChangeRefusal>>;
  /** Activates a configuration received from another member if it is newer. */
  observe(configuration: Configuration): void;
  /** Fetches the active configuration of another member and observes it. */
  pull(member: Member): Promise<void>;
  /** Whether the configuration has been read from the store. */
  hasRead(): boolean;
  /** Returns the most recent accepted changes, oldest first. */
  listAcceptances(): readonly Acceptance[];
  /**
   * Returns a revision; undefined if it is no longer stored or the store is
   * unavailable.
   */
  readRevision(revision: number): Promise<Configuration | undefined>;
  dispose(): void;
}

/** Dependencies of the configuration actor. */
export interface ConfigurationOptions {
  readonly system: ActorSystemRef;
  readonly store: Store;
  readonly peers: Peers;
  readonly selfId: string;
  readonly telemetry: Telemetry;
  /** Returns the other live members. */
  readonly getOthers: () => readonly Member[];
  /**
   * Returns the number of hosts in the fleet; undefined if the host list isn't
   * known yet.
   */
  readonly countHosts: () => number | undefined;
}

enum MessageKind {
  Apply,
  WriteBack,
}

type Message =
  | {readonly kind: MessageKind.WriteBack}
  | {
      readonly kind: MessageKind.Apply;
      readonly change: ConfigurationChange;
      readonly reply: Ref<Result<Configuration, ChangeRefusal>>;
    };

const PREFIX = 'config/';
const CURRENT_KEY = 'config/current';
/**
 * Upper bound of the random delay before a lost revision is written back, so
 * that members rarely collide.
 */
const MAX_WRITE_BACK_DELAY_MS = 500;
const REFUSAL_SUBJECT = 'configuration';

/**
 * Creates the actor that follows the stored configuration and applies changes
 * to it.
 */
export function createConfigurationActor(
  options: ConfigurationOptions,
): ConfigurationActor {
  const {system, store, telemetry} = options;
  const current = createObservableValue<Configuration | undefined>(undefined);
  const mirror: Mirror<Configuration> = createMirror(store, PREFIX, {
    decode: read,
  });
  const history = createConfigurationHistory(store);
  const abort = new AbortController();
  const gossip = createGossip({
    ...options,
    getCurrent: () => current.get(),
    observe,
    onInvalid: cause =>
      telemetry.reportInvalidEntry('member', CURRENT_KEY, cause),
  });
  const actor = createActor<undefined, Message>({
    system,
    name: 'configuration',
    initial: undefined,
    errors: telemetry.errors,
    handle,
  });
  let writeBackDue = false;

  async function handle(_: undefined, message: Message): Promise<undefined> {
    switch (message.kind) {
      case MessageKind.WriteBack:
        writeBackDue = false;
        if (isStoreBehind(await writeBack())) startWriteBack(undefined);
        return;
      case MessageKind.Apply:
        dispatch(message.reply, await applyChange(message.change));
        return;
    }
  }

  /**
   * Returns the configuration of an entry; undefined if it can't be read, as if
   * the store had lost it.
   */
  function read(entry: StoreEntry): Configuration | undefined {
    const decoded = decodeText(configurationFormat, entry.value);
    if (decoded.isErr) {
      telemetry.reportInvalidEntry('store', entry.key, decoded.error);
    }
    return decoded.unwrapOr(undefined);
  }

  function observeEntry(entry: StoreEntry | undefined): void {
    const found = entry && read(entry);
    if (found) observe(found);
  }

  function observe(candidate: Configuration): void {
    const known = current.get();
    const newer = getNewerConfiguration(known, candidate);
    if (newer === known) return;
    current.set(newer);
    telemetry.recordDecision({
      kind: DecisionKind.Configure,
      subject: `revision-${candidate.revision}`,
      pool: '',
      cause: `revision ${candidate.revision} by ${candidate.author} is now active`,
      inputs: {
        operationId: candidate.operationId,
        before: known?.revision ?? 0,
      },
    });
  }

  async function applyChange(
    change: ConfigurationChange,
  ): Promise<Result<Configuration, ChangeRefusal>> {
    const answer = await store.get(CURRENT_KEY);
    if (answer.isErr) return refuse(RefusalReason.StoreUnavailable);
    let stored = answer.value;
    observeEntry(stored);
    if (isStoreBehind(stored)) {
      stored = await writeBack();
      if (isStoreBehind(stored)) return refuse(RefusalReason.StoreUnavailable);
    }
    const known = current.get();
    const accepted = findAcceptance(known, change.operationId);
    if (accepted) return resolveRepeat(accepted);
    if (change.baseRevision !== (known?.revision ?? 0)) return conflict(change);
    const findings = checkProfileSet(change.profiles, options.countHosts());
    if (findings.length > 0) {
      telemetry.countRefusal(REFUSAL_SUBJECT, RefusalReason.BadRequest);
      return Result.err({reason: RefusalReason.BadRequest, findings});
    }
    if (known) await history.keep(known);
    return commit(change, known, stored?.version ?? 0);
  }

  /**
   * Whether the store lacks the configuration that is active on this member.
   */
  function isStoreBehind(stored: StoreEntry | undefined): boolean {
    const held = current.get();
    if (!held) return false;
    return !stored || read(stored)?.operationId !== held.operationId;
  }

  async function commit(
    change: ConfigurationChange,
    known: Configuration | undefined,
    version: number,
  ): Promise<Result<Configuration, ChangeRefusal>> {
    const acceptance: Acceptance = {
      revision: change.baseRevision + 1,
      operationId: change.operationId,
      author: change.author,
      acceptedAt: Date.now(),
    };
    const next: Configuration = {
      ...acceptance,
      profiles: change.profiles,
      recent: [...listAcceptances(known), acceptance].slice(-MAX_ACCEPTANCES),
    };
    const written = await write(store, {
      key: CURRENT_KEY,
      expectedVersion: version,
      value: JSON.stringify(next),
    });
    switch (written.outcome) {
      case WriteOutcome.Written:
        return announce(next);
      case WriteOutcome.Conflict:
        return resolveConflict(change, written.found);
      case WriteOutcome.Unavailable:
        return refuse(RefusalReason.StoreUnavailable);
      case WriteOutcome.Unknown:
        return refuse(RefusalReason.OutcomeUnknown);
    }
  }

  /**
   * Activates an accepted configuration and pushes it to other members before
   * the caller is answered.
   */
  async function announce(
    next: Configuration,
  ): Promise<Result<Configuration, ChangeRefusal>> {
    observe(next);
    const holders = await gossip.push(next);
    telemetry.log.info('configuration accepted', {
      revision: next.revision,
      operationId: next.operationId,
      otherHolders: holders,
    });
    return Result.ok(next);
  }

  /**
   * Handles a conflicting write: another change came first, or this one was
   * stored and then superseded.
   */
  async function resolveConflict(
    change: ConfigurationChange,
    found: StoreEntry | undefined,
  ): Promise<Result<Configuration, ChangeRefusal>> {
    observeEntry(found);
    const accepted = findAcceptance(current.get(), change.operationId);
    return accepted ? resolveRepeat(accepted) : conflict(change);
  }

  /**
   * Returns the configuration that an earlier attempt of the same change
   * created.
   */
  async function resolveRepeat(
    accepted: Acceptance,
  ): Promise<Result<Configuration, ChangeRefusal>> {
    const found = await readRevision(accepted.revision);
    const profiles = found?.profiles ?? current.get()?.profiles ?? [];
    return Result.ok({...accepted, profiles});
  }

  async function readRevision(
    revision: number,
  ): Promise<Configuration | undefined> {
    const held = current.get();
    return held?.revision === revision ? held : history.read(revision);
  }

  function conflict(
    change: ConfigurationChange,
  ): Result<Configuration, ChangeRefusal> {
    telemetry.countRefusal(REFUSAL_SUBJECT, RefusalReason.Conflict);
    const held = current.get();
    return Result.err({
      reason: RefusalReason.Conflict,
      findings: [],
      current: held,
      differences: diffProfiles(held?.profiles ?? [], change.profiles),
    });
  }

  function refuse(reason: RefusalReason): Result<Configuration, ChangeRefusal> {
    telemetry.countRefusal(REFUSAL_SUBJECT, reason);
    return Result.err({reason, findings: [], current: current.get()});
  }

  /**
   * Writes the active configuration back to a store that has lost it; returns
   * the entry stored afterwards.
   */
  async function writeBack(): Promise<StoreEntry | undefined> {
    const answer = await store.get(CURRENT_KEY);
    if (answer.isErr) return undefined;
    observeEntry(answer.value);
    const held = current.get();
    if (!held || !isStoreBehind(answer.value)) return answer.value;
    const value = JSON.stringify(held);
    const written = await write(store, {
      key: CURRENT_KEY,
      expectedVersion: answer.value?.version ?? 0,
      value,
    });
    if (written.outcome !== WriteOutcome.Written) return written.found;
    telemetry.recordDecision({
      kind: DecisionKind.Configure,
      subject: `revision-${held.revision}`,
      pool: '',
      cause: `revision ${held.revision} was missing from the store and has been written back`,
      inputs: {found: (answer.value && read(answer.value)?.revision) ?? 0},
    });
    return {key: CURRENT_KEY, value, version: written.version};
  }

  function handleMirrorChange(): void {
    const stored = mirror.entries.get().get(CURRENT_KEY)?.value;
    if (stored) observe(stored);
    if (mirror.synced.get()) startWriteBack(stored);
  }

  function startWriteBack(stored: Configuration | undefined): void {
    runInBackground(
      () => scheduleWriteBack(stored),
      error => telemetry.errors.report('configuration-write', error),
    );
  }

  async function scheduleWriteBack(
    stored: Configuration | undefined,
  ): Promise<void> {
    const own = current.get();
    if (!own || stored?.operationId === own.operationId || writeBackDue) return;
    writeBackDue = true;
    await delay(Math.random() * MAX_WRITE_BACK_DELAY_MS, abort.signal);
    if (!abort.signal.aborted) actor.tell({kind: MessageKind.WriteBack});
  }

  const unsubscribers = [
    mirror.entries.onChange(handleMirrorChange),
    mirror.synced.onChange(handleMirrorChange),
  ];

  return {
    current,
    handlers: gossip.handlers,
    apply: change =>
      actor.ask(reply => ({kind: MessageKind.Apply, change, reply})),
    observe,
    pull: gossip.pull,
    hasRead: () => mirror.synced.get(),
    listAcceptances: () => listAcceptances(current.get()),
    readRevision,
    dispose() {
      abort.abort();
      unsubscribers.forEach(stop => stop());
      mirror.dispose();
      actor.dispose();
    },
  };
}
