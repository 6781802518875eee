import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import type {Argv} from 'yargs';
import {readProfiles} from '../../profiles';
import {delay} from '../../state';
import {Configuration, ConfigurationSpread, Profile} from '../../types';
import {ExitCode} from '../exit_code';
import {writeFindings} from '../write_findings';
import {OperatorClient} from '../operator_client';
import {writeRows} from '../output';
import {createClient, operatorOptions} from './shared_options';

const DEFAULT_TIMEOUT_S = 30;
const POLL_INTERVAL_MS = 200;

/** Adds the command that applies a new set of profiles. */
export function addProfileApply(yargs: Argv): Argv {
  return yargs.command(
    'apply <file>',
    'apply the profiles in a file as the new configuration',
    sub =>
      sub
        .options(operatorOptions)
        .positional('file', {type: 'string', demandOption: true})
        .option('base-revision', {
          type: 'number',
          describe:
            'revision that the change is based on; the active one by default',
        })
        .option('operation-id', {
          type: 'string',
          describe:
            'id of the change; a repeated call with the same id has no effect',
        })
        .option('author', {type: 'string', default: 'operator'})
        .option('wait', {
          type: 'boolean',
          default: false,
          describe: 'wait until the revision is active at every member',
        })
        .option('wait-seconds', {
          type: 'number',
          default: DEFAULT_TIMEOUT_S,
          describe: 'maximum time to wait, in seconds',
        }),
    async options => {
      const profiles = readProfileFile(options.file);
      const client = createClient(options);
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
        await waitUntilActive(client, revision, options.waitSeconds);
      }
      writeRows(options.output, [{revision, operationId}], applied);
    },
  );
}

/**
 * Reads a profile file; prints the findings and exits the process if it is
 * invalid.
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

async function waitUntilActive(
  client: OperatorClient,
  revision: number,
  timeoutS: number,
): Promise<void> {
  const deadlineAt = performance.now() + timeoutS * 1_000;
  for (;;) {
    const {members} = await client.call<ConfigurationSpread>(
      'GET',
      '/v1/configuration/spread',
    );
    const outdated = members.filter(member => member.revision < revision);
    const count = `${members.length - outdated.length} of ${members.length}`;
    if (outdated.length === 0) {
      process.stderr.write(`active on ${count} members\n`);
      return;
    }
    if (performance.now() > deadlineAt) {
      const ids = outdated.map(({memberId}) => memberId).join(', ');
      process.stderr.write(
        `active on ${count} members; not active on ${ids}\n`,
      );
      process.exit(ExitCode.Failed);
    }
    await delay(POLL_INTERVAL_MS);
  }
}
