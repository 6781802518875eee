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
import {AnyPeerHandler, Peers, Store, StoreEntry} from '../../ports';
import {
  Mirror,
  ObservableValue,
  WriteOutcome,
  createMirror,
  createObservableValue,
  delay,
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
import {Change} from './change';
import {ChangeRefusal} from './change_refusal';
import {createConfigurationHistory} from './configuration_history';
import {createGossip} from './gossip';

/** The configuration in force at this member. */
export interface ConfigurationActor {
  /** The highest revision seen; undefined until one is. */
  readonly current: ObservableValue<Configuration | undefined>;
  /** What answers the calls of other members. */
  readonly handlers: readonly AnyPeerHandler[];
  /** Makes a change durable, or says why not. */
  apply(change: Change): Promise<Result<Configuration, ChangeRefusal>>;
  /** Takes over a revision heard from another member. */
  observe(configuration: Configuration): void;
  /** Reads the configuration in force at another member. */
  pull(member: Member): Promise<void>;
  /** True once the store's configuration has been read. */
  hasRead(): boolean;
  /** Lists the latest acceptances, oldest first. */
  listAcceptances(): readonly Acceptance[];
  /** Reads a revision; undefined if it is no longer kept or the store is away. */
  readRevision(revision: number): Promise<Configuration | undefined>;
  dispose(): void;
}

/** Where the actor gets what it needs. */
export interface ConfigurationOptions {
  readonly system: ActorSystemRef;
  readonly store: Store;
  readonly peers: Peers;
  readonly selfId: string;
  readonly telemetry: Telemetry;
  /** Other live members. */
  readonly getOthers: () => readonly Member[];
  /** Hosts of the fleet; undefined if the list isn't known yet. */
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
      readonly change: Change;
      readonly reply: Ref<Result<Configuration, ChangeRefusal>>;
    };

const PREFIX = 'config/';
const CURRENT_KEY = 'config/current';
/** Longest wait before a member writes a lost revision back, so that one of them is first. */
const WRITE_BACK_SPREAD_MS = 500;
const SERVICE = 'configuration';

/** Creates the actor that follows and changes the configuration. */
export function createConfigurationActor(
  options: ConfigurationOptions,
): ConfigurationActor {
  const {system, store, telemetry} = options;
  const current = createObservableValue<Configuration | undefined>(undefined);
  const mirror: Mirror<Configuration> = createMirror(store, PREFIX);
  const history = createConfigurationHistory(store);
  const abort = new AbortController();
  const gossip = createGossip({
    ...options,
    getCurrent: () => current.get(),
    observe,
  });
  const actor = createActor<undefined, Message>({
    system,
    name: 'configuration',
    initial: undefined,
    log: telemetry.log,
    handle,
  });
  let writeBackDue = false;

  async function handle(_: undefined, message: Message): Promise<undefined> {
    switch (message.kind) {
      case MessageKind.WriteBack:
        writeBackDue = false;
        if (isBehind(await writeBack())) void writeBackSoon(undefined);
        return;
      case MessageKind.Apply:
        dispatch(message.reply, await change(message.change));
        return;
    }
  }

  function observe(seen: Configuration): void {
    const known = current.get();
    const newer = getNewerConfiguration(known, seen);
    if (newer === known) return;
    current.set(newer);
    telemetry.recordDecision({
      kind: DecisionKind.Configure,
      subject: `revision-${seen.revision}`,
      pool: '',
      cause: `revision ${seen.revision} by ${seen.author} is in force`,
      inputs: {operationId: seen.operationId, before: known?.revision ?? 0},
    });
  }

  async function change(
    asked: Change,
  ): Promise<Result<Configuration, ChangeRefusal>> {
    const read = await store.get(CURRENT_KEY);
    if (read.isErr) return refuse(RefusalReason.StoreUnavailable);
    let stored = read.value;
    if (stored) observe(decode(stored));
    if (isBehind(stored)) {
      stored = await writeBack();
      if (isBehind(stored)) return refuse(RefusalReason.StoreUnavailable);
    }
    const known = current.get();
    const accepted = findAcceptance(known, asked.operationId);
    if (accepted) return confirm(accepted);
    if (asked.baseRevision !== (known?.revision ?? 0)) return conflict(asked);
    const findings = checkProfileSet(asked.profiles, options.countHosts());
    if (findings.length > 0) {
      telemetry.countRefusal(SERVICE, RefusalReason.BadRequest);
      return Result.err({reason: RefusalReason.BadRequest, findings});
    }
    if (known) await history.keep(known);
    return commit(asked, known, stored?.version ?? 0);
  }

  /** True if the store holds less than what this member has in force. */
  function isBehind(stored: StoreEntry | undefined): boolean {
    const held = current.get();
    if (!held) return false;
    if (!stored) return true;
    return decode(stored).operationId !== held.operationId;
  }

  async function commit(
    asked: Change,
    known: Configuration | undefined,
    version: number,
  ): Promise<Result<Configuration, ChangeRefusal>> {
    const acceptance: Acceptance = {
      revision: asked.baseRevision + 1,
      operationId: asked.operationId,
      author: asked.author,
      acceptedAt: Date.now(),
    };
    const next: Configuration = {
      ...acceptance,
      profiles: asked.profiles,
      recent: [...listAcceptances(known), acceptance].slice(-MAX_ACCEPTANCES),
    };
    const written = await write(store, {
      key: CURRENT_KEY,
      expectedVersion: version,
      value: JSON.stringify(next),
    });
    switch (written.outcome) {
      case WriteOutcome.Written:
        return accept(next);
      case WriteOutcome.Conflict:
        return lose(asked, written.found);
      case WriteOutcome.Unavailable:
        return refuse(RefusalReason.StoreUnavailable);
      case WriteOutcome.Unknown:
        return refuse(RefusalReason.OutcomeUnknown);
    }
  }

  /** Answers only when others hold the change too, if there are any within reach. */
  async function accept(
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

  /** Another change came first, or this one was followed by another before its answer. */
  async function lose(
    asked: Change,
    found: StoreEntry | undefined,
  ): Promise<Result<Configuration, ChangeRefusal>> {
    if (found) observe(decode(found));
    const accepted = findAcceptance(current.get(), asked.operationId);
    return accepted ? confirm(accepted) : conflict(asked);
  }

  /** Returns the revision that an earlier try of the same change led to. */
  async function confirm(
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

  function conflict(asked: Change): Result<Configuration, ChangeRefusal> {
    telemetry.countRefusal(SERVICE, RefusalReason.Conflict);
    const held = current.get();
    return Result.err({
      reason: RefusalReason.Conflict,
      findings: [],
      current: held,
      differences: diffProfiles(held?.profiles ?? [], asked.profiles),
    });
  }

  function refuse(reason: RefusalReason): Result<Configuration, ChangeRefusal> {
    telemetry.countRefusal(SERVICE, reason);
    return Result.err({reason, findings: [], current: current.get()});
  }

  /** Puts the revision in force back into a store that has lost it; returns what is stored then. */
  async function writeBack(): Promise<StoreEntry | undefined> {
    const read = await store.get(CURRENT_KEY);
    if (read.isErr) return undefined;
    if (read.value) observe(decode(read.value));
    const held = current.get();
    if (!held || !isBehind(read.value)) return read.value;
    const value = JSON.stringify(held);
    const written = await write(store, {
      key: CURRENT_KEY,
      expectedVersion: read.value?.version ?? 0,
      value,
    });
    if (written.outcome !== WriteOutcome.Written) return written.found;
    telemetry.recordDecision({
      kind: DecisionKind.Configure,
      subject: `revision-${held.revision}`,
      pool: '',
      cause: `revision ${held.revision} was missing from the store and is written back`,
      inputs: {found: read.value ? decode(read.value).revision : 0},
    });
    return {key: CURRENT_KEY, value, version: written.version};
  }

  function follow(): void {
    const seen = mirror.entries.get().get(CURRENT_KEY)?.value;
    if (seen) observe(seen);
    if (mirror.synced.get()) void writeBackSoon(seen);
  }

  async function writeBackSoon(seen: Configuration | undefined): Promise<void> {
    const held = current.get();
    if (!held || seen?.operationId === held.operationId || writeBackDue) return;
    writeBackDue = true;
    await delay(Math.random() * WRITE_BACK_SPREAD_MS, abort.signal);
    if (!abort.signal.aborted) actor.tell({kind: MessageKind.WriteBack});
  }

  const stops = [
    mirror.entries.onChange(follow),
    mirror.synced.onChange(follow),
  ];

  return {
    current,
    handlers: gossip.handlers,
    apply: asked =>
      actor.ask(reply => ({kind: MessageKind.Apply, change: asked, reply})),
    observe,
    pull: gossip.pull,
    hasRead: () => mirror.synced.get(),
    listAcceptances: () => listAcceptances(current.get()),
    readRevision,
    dispose() {
      abort.abort();
      stops.forEach(stop => stop());
      mirror.dispose();
      actor.dispose();
    },
  };
}

function decode(entry: StoreEntry): Configuration {
  return JSON.parse(entry.value) as Configuration;
}
