import type {Argv, Options} from 'yargs';
import {TlsIdentity, createTlsIdentity} from '../../security';
import {
  SETTINGS,
  SettingInputs,
  Settings,
  resolveSettings,
  readSettings,
} from '../../settings';
import {
  LogFormat,
  Telemetry,
  createStreamTarget,
  createTelemetry,
  formatLine,
  setLogSink,
} from '../../telemetry';
import {EntryHost, createEntryHost} from '../../wiring';
import {handleProcessEvents} from '../entry_process';
import {ExitCode} from '../exit_code';
import {writeFindings} from '../write_findings';
import {Output, writeRows} from '../output';

const SECRET_MASK = '********';
/** Log output that may wait for a slow reader, in characters. */
const MAX_BUFFERED_CHARS = 1_048_576;

/** Adds the command that runs an entry host. */
export function addRun(yargs: Argv): Argv {
  return yargs.command(
    'run',
    'run an entry host; every flag can also be set by a SESAMEFRONT_* variable',
    command =>
      command
        .options(createSettingOptions())
        .option('print-settings', {
          type: 'boolean',
          default: false,
          describe: 'print every setting with its source and exit',
        })
        .example(
          '$0 run --address 127.0.0.2 --store-url http://127.0.0.1:9000',
          'run a second entry host against the stand-in platform',
        )
        .example(
          'SESAMEFRONT_LOG_LEVEL=debug $0 run --print-settings',
          'print the effective settings',
        ),
    async options => {
      const inputs: SettingInputs = {
        flags: options,
        environment: process.env,
      };
      if (options.printSettings) printSettings(inputs);
      const read = readSettings(inputs);
      if (read.isErr) {
        writeFindings(read.error);
        process.exit(ExitCode.BadInput);
      }
      if (options.printSettings) process.exit(ExitCode.Done);
      const settings = read.value;
      const telemetry = createTelemetry(settings.memberId, settings.logLevel);
      configureLogOutput(settings.logFormat, telemetry.countLogFailure);
      const identity = createIdentity(settings);
      const entryProcess = handleProcessEvents(telemetry, () =>
        identity?.dispose(),
      );
      const entry = await startEntryHost(settings, identity, telemetry);
      entryProcess.setEntry(entry);
      const {address, callerPort, operatorPort, peerPort} = entry.member;
      entry.telemetry.log.info('listening', {
        address,
        callerPort,
        operatorPort,
        peerPort,
      });
    },
  );
}

async function startEntryHost(
  settings: Settings,
  identity: TlsIdentity | undefined,
  telemetry: Telemetry,
): Promise<EntryHost> {
  try {
    return await createEntryHost(settings, identity, telemetry);
  } catch (error) {
    const {message} = error as Error;
    telemetry.log.error('start failed', {cause: message});
    process.stderr.write(`${message}\n`);
    process.exit(ExitCode.Failed);
  }
}

function createIdentity(settings: Settings): TlsIdentity | undefined {
  const {tlsCertificate, tlsKey, tlsAuthorities} = settings;
  if (!tlsCertificate || !tlsKey || !tlsAuthorities) return undefined;
  const created = createTlsIdentity(
    {certificate: tlsCertificate, key: tlsKey, authorities: tlsAuthorities},
    writeFindings,
  );
  if (created.isOk) return created.value;
  writeFindings(created.error);
  process.exit(ExitCode.BadInput);
}

function createSettingOptions(): Record<string, Options> {
  return Object.fromEntries(
    SETTINGS.map(({flag, describe, defaultValue, repeatable, hidden}) => [
      flag,
      {
        type: 'string',
        array: repeatable,
        hidden,
        describe,
        defaultDescription: defaultValue?.toString(),
        requiresArg: true,
      } satisfies Options,
    ]),
  );
}

function printSettings(inputs: SettingInputs): void {
  const rows = resolveSettings(inputs).map(({flag, value, place, secret}) => ({
    setting: flag,
    value: secret && value !== undefined ? SECRET_MASK : String(value ?? ''),
    source: place,
  }));
  writeRows(Output.Table, rows);
}

function configureLogOutput(format: LogFormat, onFailure: () => void): void {
  const colour = process.stdout.isTTY === true;
  const output = createStreamTarget(process.stdout, onFailure);
  process.stderr.on('error', onFailure);
  setLogSink(line => {
    if (output.getBufferedLength() > MAX_BUFFERED_CHARS) return onFailure();
    const text = format === LogFormat.Json ? line : formatLine(line, colour);
    output.write(`${text}\n`);
  });
}
