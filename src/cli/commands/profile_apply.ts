import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import type {Argv} from 'yargs';
import {readProfiles} from '../../profiles';
import {delay} from '../../state';
import {Configuration, ConfigurationSpread, Profile} from '../../types';
import {ExitCode} from '../exit_code';
import {writeFindings} from '../findings';
import {OperatorClient} from '../operator_client';
import {writeRows} from '../output';
import {clientOf, operatorOptions} from './shared_options';

const DEFAULT_WAIT_S = 30;
const POLL_MS = 200;

/** Adds the command that changes the profiles. */
export function addProfileApply(yargs: Argv): Argv {
  return yargs.command(
    'apply <file>',
    'make the profiles of a file the configuration in force',
    sub =>
      sub
        .options(operatorOptions)
        .positional('file', {type: 'string', demandOption: true})
        .option('base-revision', {
          type: 'number',
          describe: 'revision that the change was made against',
        })
        .option('operation-id', {
          type: 'string',
          describe: 'id of the change; the same one is applied once',
        })
        .option('author', {type: 'string', default: 'operator'})
        .option('wait', {
          type: 'boolean',
          default: false,
          describe: 'wait until the revision is in force at every member',
        })
        .option('wait-seconds', {
          type: 'number',
          default: DEFAULT_WAIT_S,
          describe: 'longest wait',
        }),
    async options => {
      const profiles = readProfileFile(options.file);
      const client = clientOf(options);
      const operationId = options.operationId ?? randomUUID();
      process.stderr.write(`operation ${operationId}\n`);
      const applied = await client.call<Configuration>(
        'PUT',
        '/v1/configuration',
        {
          baseRevision: options.baseRevision ?? (await readRevision(client)),
          operationId,
          author: options.author,
          profiles,
        },
      );
      const {revision} = applied;
      if (options.wait) {
        await waitUntilInForce(client, revision, options.waitSeconds);
      }
      writeRows(options.output, [{revision, operationId}], applied);
    },
  );
}

/**
 * Reads a file of profiles; with findings it reports them and ends the process.
 *
 * @param file path of the file
 */
export function readProfileFile(file: string): readonly Profile[] {
  const read = readProfiles(readFileSync(file, 'utf8'), file);
  if (read.isOk) return read.value;
  writeFindings(read.error);
  process.exit(ExitCode.BadInput);
}

async function readRevision(client: OperatorClient): Promise<number> {
  const current = await client.call<Configuration | null>(
    'GET',
    '/v1/configuration',
  );
  return current?.revision ?? 0;
}

async function waitUntilInForce(
  client: OperatorClient,
  revision: number,
  limitS: number,
): Promise<void> {
  const endsAt = performance.now() + limitS * 1_000;
  for (;;) {
    const {members} = await client.call<ConfigurationSpread>(
      'GET',
      '/v1/configuration/spread',
    );
    const behind = members.filter(member => member.revision < revision);
    const count = `${members.length - behind.length} of ${members.length}`;
    if (behind.length === 0) {
      process.stderr.write(`in force on ${count}\n`);
      return;
    }
    if (performance.now() > endsAt) {
      const ids = behind.map(({memberId}) => memberId).join(', ');
      process.stderr.write(`in force on ${count}; not on ${ids}\n`);
      process.exit(ExitCode.Failed);
    }
    await delay(POLL_MS);
  }
}
