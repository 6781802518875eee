import {SlotPolicyKind} from '../decisions/requests';
import {LogFormat, LogLevel} from '../telemetry';

/** Settings of an entry host. */
export interface Settings {
  /** Id of this entry host among the members. */
  readonly memberId: string;
  readonly availabilityZone: string;
  /** IP address to listen on. */
  readonly address: string;
  readonly callerPort: number;
  readonly operatorPort: number;
  readonly peerPort: number;
  /** Base URLs of the platform's key-value service. */
  readonly storeUrls: readonly string[];
  readonly hostListUrl: string;
  /**
   * IP addresses and peer ports of members to contact while the store is
   * unavailable and no members are known.
   */
  readonly seeds?: readonly string[];
  /**
   * Bearer token that requests to the operators' port must carry; undefined
   * disables authorization.
   */
  readonly operatorToken?: string;
  /** Certificate of this entry host: path of a PEM file, or PEM text. */
  readonly tlsCertificate?: string;
  /** Private key of the certificate: path of a PEM file, or PEM text. */
  readonly tlsKey?: string;
  /**
   * Certificate authorities of members and operators: path of a PEM file, or
   * PEM text.
   */
  readonly tlsAuthorities?: string;
  readonly logLevel: LogLevel;
  readonly logFormat: LogFormat;
  /** Timeout of a call to the key-value service, in ms. */
  readonly storeTimeoutMs: number;
  /** Maximum number of connections to one worker for requests. */
  readonly connectionsPerWorker: number;
  /**
   * Minimum wait for the first byte of the response to an idempotent request
   * before another worker is tried, in ms.
   */
  readonly silenceMs?: number;
  /** Policy for sharing slots between entry hosts. */
  readonly slotPolicy?: SlotPolicyKind;
  /** Timeout of a control call to a worker, in ms. */
  readonly workerTimeoutMs: number;
  /** How long idempotency keys and their outcomes are kept, in ms. */
  readonly claimRetentionMs?: number;
  /** How long finished jobs and their results are kept, in ms. */
  readonly jobRetentionMs?: number;
}
