import {createMethod} from './method';
import {sesamefront} from './generated/configuration';

const messages = sesamefront.configuration;

/** Question for the configuration in force. */
export interface ConfigurationFetch {
  readonly memberId: string;
}

/** The configuration in force at a member. */
export interface HeldConfiguration {
  /** 0 for none. */
  readonly revision: number;
  /** The configuration as JSON; empty for none. */
  readonly configuration: string;
}

/** Reply to a configuration that was handed over. */
export interface ConfigurationReceipt {
  /** Revision in force after the call. */
  readonly revision: number;
}

const heldCodec = {
  encode: (value: HeldConfiguration) => messages.Held.encode(value),
  decode: (bytes: Uint8Array) =>
    messages.Held.decode(bytes) as unknown as HeldConfiguration,
};

/** Method that reads the configuration in force at another member. */
export const fetchConfigurationMethod = createMethod<
  ConfigurationFetch,
  HeldConfiguration
>(
  '/sesamefront.configuration.Gossip/Fetch',
  {
    encode: value => messages.FetchRequest.encode(value),
    decode: bytes =>
      messages.FetchRequest.decode(bytes) as unknown as ConfigurationFetch,
  },
  heldCodec,
);

/** Method that hands an accepted configuration to another member. */
export const pushConfigurationMethod = createMethod<
  HeldConfiguration,
  ConfigurationReceipt
>('/sesamefront.configuration.Gossip/Push', heldCodec, {
  encode: value => messages.PushReply.encode(value),
  decode: bytes =>
    messages.PushReply.decode(bytes) as unknown as ConfigurationReceipt,
});
