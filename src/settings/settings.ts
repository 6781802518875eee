import {SlotPolicyKind} from '../decisions/requests';
import {LogFormat, LogLevel} from '../telemetry';

/** Settings of one entry host. */
export interface Settings {
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
  /** IP addresses and peer ports of members to ask while the store can't tell any. */
  readonly seeds?: readonly string[];
  /** Token that operators' calls carry; undefined leaves them open. */
  readonly operatorToken?: string;
  /** Certificate of this entry host: a file's path or PEM text. */
  readonly tlsCertificate?: string;
  /** Private key of the certificate: a file's path or PEM text. */
  readonly tlsKey?: string;
  /** Authorities of members and operators: a file's path or PEM text. */
  readonly tlsAuthorities?: string;
  readonly logLevel: LogLevel;
  readonly logFormat: LogFormat;
  /** Time limit of a call to the key-value service, in ms. */
  readonly storeTimeoutMs: number;
  /** Connections to one worker for requests. */
  readonly connectionsPerWorker: number;
  /** Least wait for the first byte of an idempotent request's answer, in ms. */
  readonly silenceMs?: number;
  /** Way of sharing slots between entry hosts. */
  readonly slotPolicy?: SlotPolicyKind;
  /** Time limit of a control call to a worker, in ms. */
  readonly workerTimeoutMs: number;
  /** Time for which idempotency keys and their outcomes are kept, in ms. */
  readonly claimRetentionMs?: number;
  /** Time for which finished jobs and their results are kept, in ms. */
  readonly jobRetentionMs?: number;
}
