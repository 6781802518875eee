import type {Argv} from 'yargs';
import {SlotPolicyKind} from '../../decisions/requests';
import {Settings} from '../../settings';
import {LogLevel, setLogSink} from '../../telemetry';
import {createEntry} from '../../wiring';
import {ExitCode} from '../exit_code';

const runOptions = {
  'member-id': {
    type: 'string',
    describe: 'id of this entry host; entry-ADDRESS by default',
  },
  'availability-zone': {
    type: 'string',
    default: 'zone-a',
    describe: 'availability zone of this entry host',
  },
  address: {
    type: 'string',
    default: '127.0.0.1',
    describe: 'IP address to listen on',
  },
  'caller-port': {type: 'number', default: 8080, describe: "callers' port"},
  'operator-port': {
    type: 'number',
    default: 8081,
    describe: "operators' port",
  },
  'peer-port': {type: 'number', default: 8082, describe: "members' port"},
  'store-url': {
    type: 'string',
    array: true,
    default: ['http://127.0.0.1:9000'],
    describe: 'base URL of the key-value service; may be repeated',
  },
  'host-list-url': {
    type: 'string',
    default: 'http://127.0.0.1:9000',
    describe: 'base URL of the host list',
  },
  'operator-token': {
    type: 'string',
    describe: "token that operators' calls must carry",
  },
  'log-level': {
    choices: Object.values(LogLevel),
    default: LogLevel.Info,
    describe: 'least level of log lines',
  },
  'store-timeout-ms': {
    type: 'number',
    default: 1_000,
    describe: 'time limit of a call to the key-value service',
  },
  'connections-per-worker': {
    type: 'number',
    default: 8,
    describe: 'connections to one worker for requests',
  },
  'silence-ms': {
    type: 'number',
    default: 1_000,
    describe:
      'least wait for the first byte of an idempotent answer before another worker is tried',
  },
  'slot-policy': {
    choices: Object.values(SlotPolicyKind),
    default: SlotPolicyKind.Lending,
    hidden: true,
    describe: 'way of sharing slots between entry hosts',
  },
  'worker-timeout-ms': {
    type: 'number',
    default: 1_000,
    describe: 'time limit of a control call to a worker',
  },
} as const;

/** Adds the command that runs an entry host. */
export function addRun(yargs: Argv): Argv {
  return yargs.command(
    'run',
    'run an entry host',
    command => command.options(runOptions),
    async options => {
      setLogSink(line => process.stdout.write(`${line}\n`));
      const settings: Settings = {
        memberId: options.memberId ?? `entry-${options.address}`,
        availabilityZone: options.availabilityZone,
        address: options.address,
        callerPort: options.callerPort,
        operatorPort: options.operatorPort,
        peerPort: options.peerPort,
        storeUrls: options.storeUrl,
        hostListUrl: options.hostListUrl,
        operatorToken: options.operatorToken,
        logLevel: options.logLevel,
        storeTimeoutMs: options.storeTimeoutMs,
        connectionsPerWorker: options.connectionsPerWorker,
        silenceMs: options.silenceMs,
        slotPolicy: options.slotPolicy,
        workerTimeoutMs: options.workerTimeoutMs,
      };
      const entry = await createEntry(settings);
      entry.telemetry.log.info('listening', {
        address: settings.address,
        callerPort: entry.member.callerPort,
        operatorPort: entry.member.operatorPort,
        peerPort: entry.member.peerPort,
      });
      const stop = () =>
        void entry.stop().then(() => process.exit(ExitCode.Done));
      process.once('SIGTERM', stop);
      process.once('SIGINT', stop);
    },
  );
}
