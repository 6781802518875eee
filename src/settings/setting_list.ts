import {isIP} from 'node:net';
import {z} from 'zod';
import {SlotPolicyKind} from '../decisions/requests';
import {LogFormat, LogLevel} from '../telemetry';
import {Setting} from './setting';

const MAX_PORT = 65_535;
const MIN_RETENTION_MS = 60_000;
const MAX_TIMEOUT_MS = 60_000;
const MAX_CONNECTIONS = 64;

const port = z.coerce
  .number({error: 'must be a port number'})
  .int('must be a port number')
  .min(0, 'must be a port number')
  .max(MAX_PORT, 'must be a port number');

const timeout = z.coerce
  .number({error: 'must be a time in ms'})
  .int('must be a whole number of ms')
  .min(10, 'must be at least 10 ms')
  .max(MAX_TIMEOUT_MS, `must be at most ${MAX_TIMEOUT_MS} ms`);

const retention = z.coerce
  .number({error: 'must be a time in ms'})
  .int('must be a whole number of ms')
  .min(MIN_RETENTION_MS, `must be at least ${MIN_RETENTION_MS} ms`);

const name = z
  .string()
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/,
    'must be a name of 1 to 63 letters, digits, ".", "_" or "-"',
  );

const ipAddress = z
  .string()
  .refine(text => isIP(text) !== 0, 'must be an IP address');

const baseUrl = z
  .string()
  .refine(isBaseUrl, 'must be an http or https URL without a path');

const peerAddress = z
  .string()
  .regex(
    /^.+:[0-9]{1,5}$/,
    'must be an IP address and port, such as 10.0.0.1:8082',
  );

/** All settings of an entry host, in the order of the help text. */
export const SETTINGS: readonly Setting[] = [
  {
    key: 'memberId',
    flag: 'member-id',
    describe: 'id of this entry host; entry-ADDRESS by default',
    schema: name.optional(),
  },
  {
    key: 'availabilityZone',
    flag: 'availability-zone',
    describe: 'availability zone of this entry host',
    schema: name,
    defaultValue: 'zone-a',
  },
  {
    key: 'address',
    flag: 'address',
    describe: 'IP address to listen on',
    schema: ipAddress,
    defaultValue: '127.0.0.1',
  },
  {
    key: 'callerPort',
    flag: 'caller-port',
    describe: "callers' port",
    schema: port,
    defaultValue: 8080,
  },
  {
    key: 'operatorPort',
    flag: 'operator-port',
    describe: "operators' port",
    schema: port,
    defaultValue: 8081,
  },
  {
    key: 'peerPort',
    flag: 'peer-port',
    describe: "members' port",
    schema: port,
    defaultValue: 8082,
  },
  {
    key: 'storeUrls',
    flag: 'store-url',
    describe: 'base URL of the key-value service; may be repeated',
    schema: z.array(baseUrl).min(1),
    defaultValue: ['http://127.0.0.1:9000'],
    repeatable: true,
  },
  {
    key: 'hostListUrl',
    flag: 'host-list-url',
    describe: 'base URL of the host list',
    schema: baseUrl,
    defaultValue: 'http://127.0.0.1:9000',
  },
  {
    key: 'seeds',
    flag: 'seed',
    describe:
      'IP address and peer port of a member to contact while the store is unavailable and no members are known; may be repeated',
    schema: z.array(peerAddress).optional(),
    repeatable: true,
  },
  {
    key: 'operatorToken',
    flag: 'operator-token',
    describe: "bearer token that requests to the operators' port must carry",
    schema: z.string().min(8, 'must have at least 8 characters').optional(),
    secret: true,
  },
  {
    key: 'tlsCertificate',
    flag: 'tls-certificate',
    describe: 'certificate of all ports: path of a PEM file, or its text',
    schema: z.string().min(1).optional(),
  },
  {
    key: 'tlsKey',
    flag: 'tls-key',
    describe: 'private key of the certificate: path of a PEM file, or its text',
    schema: z.string().min(1).optional(),
    secret: true,
  },
  {
    key: 'tlsAuthorities',
    flag: 'tls-authorities',
    describe:
      'certificate authorities of members and operators: path of a PEM file, or its text',
    schema: z.string().min(1).optional(),
  },
  {
    key: 'logLevel',
    flag: 'log-level',
    describe: `minimum level of log lines: ${Object.values(LogLevel).join(', ')}`,
    schema: z.enum(LogLevel),
    defaultValue: LogLevel.Info,
  },
  {
    key: 'logFormat',
    flag: 'log-format',
    describe: `format of log lines: ${Object.values(LogFormat).join(', ')}`,
    schema: z.enum(LogFormat),
    defaultValue: LogFormat.Json,
  },
  {
    key: 'storeTimeoutMs',
    flag: 'store-timeout-ms',
    describe: 'timeout of a call to the key-value service, in ms',
    schema: timeout,
    defaultValue: 1_000,
  },
  {
    key: 'connectionsPerWorker',
    flag: 'connections-per-worker',
    describe: 'maximum number of connections to one worker for requests',
    schema: z.coerce
      .number({error: 'must be a number'})
      .int('must be a whole number')
      .min(1, 'must be at least 1')
      .max(MAX_CONNECTIONS, `must be at most ${MAX_CONNECTIONS}`),
    defaultValue: 8,
  },
  {
    key: 'silenceMs',
    flag: 'silence-ms',
    describe:
      'minimum wait for the first byte of the response to an idempotent request before another worker is tried',
    schema: timeout,
    defaultValue: 1_000,
  },
  {
    key: 'slotPolicy',
    flag: 'slot-policy',
    describe: 'policy for sharing slots between entry hosts',
    schema: z.enum(SlotPolicyKind),
    defaultValue: SlotPolicyKind.Lending,
    hidden: true,
  },
  {
    key: 'workerTimeoutMs',
    flag: 'worker-timeout-ms',
    describe: 'timeout of a control call to a worker, in ms',
    schema: timeout,
    defaultValue: 1_000,
  },
  {
    key: 'claimRetentionMs',
    flag: 'claim-retention-ms',
    describe: 'how long idempotency keys and their outcomes are kept, in ms',
    schema: retention,
    defaultValue: 86_400_000,
  },
  {
    key: 'jobRetentionMs',
    flag: 'job-retention-ms',
    describe: 'how long finished jobs and their results are kept, in ms',
    schema: retention,
    defaultValue: 604_800_000,
  },
];

function isBaseUrl(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const {protocol, pathname, search, hash} = new URL(text);
  const web = protocol === 'http:' || protocol === 'https:';
  return web && pathname === '/' && search === '' && hash === '';
}
