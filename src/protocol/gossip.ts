import {createMethod} from './method';
import {sesamefront} from './generated/configuration';

const messages = sesamefront.configuration;

/** Request for the active configuration of a member. */
export interface ConfigurationFetch {
  /** Member that sends the request. */
  readonly memberId: string;
}

/** Active configuration of a member. */
export interface ActiveConfiguration {
  /** Revision of the configuration; 0 if there is none. */
  readonly revision: number;
  /** The configuration as JSON; empty if there is none. */
  readonly configuration: string;
}

/** Reply to a pushed configuration. */
export interface ConfigurationReceipt {
  /** Revision of the receiver's active configuration after the call. */
  readonly revision: number;
}

const activeConfigurationCodec = {
  encode: (value: ActiveConfiguration) => messages.Held.encode(value),
  decode: (bytes: Uint8Array) =>
    messages.Held.decode(bytes) as unknown as ActiveConfiguration,
};

/** Method that fetches the active configuration of another member. */
export const fetchConfigurationMethod = createMethod<
  ConfigurationFetch,
  ActiveConfiguration
>(
  '/sesamefront.configuration.Gossip/Fetch',
  {
    encode: value => messages.FetchRequest.encode(value),
    decode: bytes =>
      messages.FetchRequest.decode(bytes) as unknown as ConfigurationFetch,
  },
  activeConfigurationCodec,
);

/** Method that pushes an accepted configuration to another member. */
export const pushConfigurationMethod = createMethod<
  ActiveConfiguration,
  ConfigurationReceipt
>('/sesamefront.configuration.Gossip/Push', activeConfigurationCodec, {
  encode: value => messages.PushReply.encode(value),
  decode: bytes =>
    messages.PushReply.decode(bytes) as unknown as ConfigurationReceipt,
});
