import {ActorSystemRef, Ref, dispatch} from 'nact';
import {Result} from 'true-myth';
import {
  checkProfileSet,
  newerConfiguration,
} from '../../decisions/configuration';
import {Store} from '../../ports';
import {
  Mirror,
  MirrorEntry,
  Snapshot,
  WriteOutcome,
  createMirror,
  createSnapshot,
  write,
} from '../../state';
import {Telemetry} from '../../telemetry';
import {Configuration, DecisionKind, RefusalReason} from '../../types';
import {createActor} from '../shared';
import {Change} from './change';
import {ChangeRefusal} from './change_refusal';

/** The configuration in force at this member. */
export interface ConfigurationActor {
  /** The highest revision seen; undefined until one is. */
  readonly current: Snapshot<Configuration | undefined>;
  /** Makes a change durable, or says why not. */
  apply(change: Change): Promise<Result<Configuration, ChangeRefusal>>;
  /** Takes over a revision heard from another member. */
  observe(configuration: Configuration): void;
  dispose(): void;
}

/** Where the actor gets what it needs. */
export interface ConfigurationOptions {
  readonly system: ActorSystemRef;
  readonly store: Store;
  readonly telemetry: Telemetry;
  /** Hosts of the fleet; undefined if the list isn't known yet. */
  readonly countHosts: () => number | undefined;
}

enum MessageKind {
  Observe,
  Apply,
}

type Message =
  | {readonly kind: MessageKind.Observe; readonly seen: Configuration}
  | {
      readonly kind: MessageKind.Apply;
      readonly change: Change;
      readonly reply: Ref<Result<Configuration, ChangeRefusal>>;
    };

const PREFIX = 'config/';
const CURRENT_KEY = 'config/current';

/** Creates the actor that follows and changes the configuration. */
export function createConfigurationActor(
  options: ConfigurationOptions,
): ConfigurationActor {
  const {system, store, telemetry} = options;
  const current = createSnapshot<Configuration | undefined>(undefined);
  const mirror: Mirror<Configuration> = createMirror(store, PREFIX);
  const actor = createActor<undefined, Message>({
    system,
    name: 'configuration',
    initial: undefined,
    log: telemetry.log,
    handle,
  });

  async function handle(_: undefined, message: Message): Promise<undefined> {
    switch (message.kind) {
      case MessageKind.Observe:
        adopt(message.seen);
        return;
      case MessageKind.Apply:
        dispatch(message.reply, await change(message.change));
        return;
    }
  }

  function adopt(seen: Configuration): void {
    const newer = newerConfiguration(current.get(), seen);
    if (newer === current.get()) return;
    current.set(newer);
    telemetry.decide({
      kind: DecisionKind.Configure,
      subject: `revision-${seen.revision}`,
      pool: '',
      cause: `revision ${seen.revision} by ${seen.author} is in force`,
    });
  }

  async function change(
    asked: Change,
  ): Promise<Result<Configuration, ChangeRefusal>> {
    const read = await store.get(CURRENT_KEY);
    if (read.isErr) return refuse(RefusalReason.StoreUnavailable);
    const stored = read.value
      ? (JSON.parse(read.value.value) as Configuration)
      : undefined;
    if (stored) adopt(stored);
    if (stored?.operationId === asked.operationId) return Result.ok(stored);
    if (asked.baseRevision !== (stored?.revision ?? 0)) {
      return refuse(RefusalReason.Conflict);
    }
    const findings = checkProfileSet(asked.profiles, options.countHosts());
    if (findings.length > 0) {
      return Result.err({reason: RefusalReason.BadRequest, findings});
    }
    return commit(asked, read.value?.version ?? 0);
  }

  async function commit(
    asked: Change,
    version: number,
  ): Promise<Result<Configuration, ChangeRefusal>> {
    const next: Configuration = {
      revision: asked.baseRevision + 1,
      operationId: asked.operationId,
      author: asked.author,
      acceptedAt: Date.now(),
      profiles: asked.profiles,
    };
    const written = await write(store, {
      key: CURRENT_KEY,
      expectedVersion: version,
      value: JSON.stringify(next),
    });
    switch (written.outcome) {
      case WriteOutcome.Written:
        adopt(next);
        return Result.ok(next);
      case WriteOutcome.Conflict:
        if (written.found) adopt(JSON.parse(written.found.value));
        return refuse(RefusalReason.Conflict);
      case WriteOutcome.Unavailable:
        return refuse(RefusalReason.StoreUnavailable);
      case WriteOutcome.Unknown:
        return refuse(RefusalReason.OutcomeUnknown);
    }
  }

  function refuse(reason: RefusalReason): Result<Configuration, ChangeRefusal> {
    return Result.err({reason, findings: [], current: current.get()});
  }

  const stopFollowing = mirror.entries.onChange(
    (entries: ReadonlyMap<string, MirrorEntry<Configuration>>) => {
      const seen = entries.get(CURRENT_KEY);
      if (seen) actor.tell({kind: MessageKind.Observe, seen: seen.value});
    },
  );

  return {
    current,
    apply: asked =>
      actor.ask(reply => ({kind: MessageKind.Apply, change: asked, reply})),
    observe: seen => actor.tell({kind: MessageKind.Observe, seen}),
    dispose() {
      stopFollowing();
      mirror.dispose();
      actor.dispose();
    },
  };
}
