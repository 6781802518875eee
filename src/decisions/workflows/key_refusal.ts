/** Why a call is turned away because of its API key. */
export enum KeyRefusal {
  Missing = 'missing',
  /** Not in the form of a key, or given more than once. */
  Malformed = 'malformed',
  /** Held by no organisation of the configuration in force. */
  Unknown = 'unknown',
  /** The configuration is too old to tell whether the key is valid. */
  Unconfirmed = 'unconfirmed',
}
