import {configurationFormat, decodeText} from '../../formats';
import {AnyPeerHandler, Peers} from '../../ports';
import {
  ActiveConfiguration,
  fetchConfigurationMethod,
  pushConfigurationMethod,
} from '../../protocol';
import {Configuration, Member} from '../../types';

/** Exchanges the active configuration with other members. */
export interface Gossip {
  /**
   * Fetches another member's configuration, unless a fetch from it is already
   * in progress.
   */
  pull(member: Member): Promise<void>;
  /**
   * Sends a configuration to some other members; returns how many of them
   * confirmed it.
   */
  push(configuration: Configuration): Promise<number>;
  /** Handlers of fetches and pushes by other members. */
  readonly handlers: readonly AnyPeerHandler[];
}

/** Dependencies of the gossip. */
export interface GossipOptions {
  readonly peers: Peers;
  readonly selfId: string;
  /** Returns the other live members. */
  readonly getOthers: () => readonly Member[];
  readonly getCurrent: () => Configuration | undefined;
  /** Called with each configuration received from another member. */
  readonly observe: (configuration: Configuration) => void;
  /** Called with the reason for which a received configuration is ignored. */
  readonly onInvalid: (cause: string) => void;
}

const CALL_TIMEOUT_MS = 500;
/**
 * Number of members that an accepted configuration is pushed to; the others
 * receive it through the relay.
 */
const PUSH_FANOUT = 3;

/** Creates the gossip of a member. */
export function createGossip(options: GossipOptions): Gossip {
  const {peers, selfId, getOthers, getCurrent, observe} = options;
  const pulling = new Set<string>();

  async function fetch(member: Member): Promise<void> {
    const held = await peers.call(
      member,
      fetchConfigurationMethod,
      {memberId: selfId},
      CALL_TIMEOUT_MS,
    );
    if (held.isOk) receive(held.value);
  }

  function receive({configuration}: ActiveConfiguration): void {
    if (configuration === '') return;
    const decoded = decodeText(configurationFormat, configuration);
    if (decoded.isOk) observe(decoded.value);
    else options.onInvalid(decoded.error);
  }

  return {
    async pull(member) {
      if (pulling.has(member.id)) return;
      pulling.add(member.id);
      await fetch(member).finally(() => pulling.delete(member.id));
    },
    async push(configuration) {
      const held = encode(configuration);
      const others = getOthers().slice(0, PUSH_FANOUT);
      const replies = await Promise.all(
        others.map(member =>
          peers.call(member, pushConfigurationMethod, held, CALL_TIMEOUT_MS),
        ),
      );
      return replies.filter(
        reply => reply.isOk && reply.value.revision >= configuration.revision,
      ).length;
    },
    handlers: [
      {
        method: fetchConfigurationMethod,
        handle: async () => encode(getCurrent()),
      },
      {
        method: pushConfigurationMethod,
        handle: async (held: ActiveConfiguration) => {
          receive(held);
          return {revision: getCurrent()?.revision ?? 0};
        },
      },
    ],
  };
}

function encode(configuration: Configuration | undefined): ActiveConfiguration {
  if (!configuration) return {revision: 0, configuration: ''};
  return {
    revision: configuration.revision,
    configuration: JSON.stringify(configuration),
  };
}
