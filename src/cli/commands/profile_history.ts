import type {Argv} from 'yargs';
import {diffProfiles} from '../../decisions/configuration';
import {Acceptance, Configuration, FieldDifference, Profile} from '../../types';
import {OperatorClient} from '../operator_client';
import {Output, writeRows} from '../output';
import {readProfileFile} from './profile_apply';
import {createClient, operatorOptions} from './shared_options';

/** Adds the commands that list and compare configuration revisions. */
export function addProfileHistory(yargs: Argv): Argv {
  return yargs
    .command(
      'history',
      'list the most recently accepted revisions',
      sub => sub.options(operatorOptions),
      async options => {
        const accepted = await createClient(options).call<
          readonly Acceptance[]
        >('GET', '/v1/configuration/history');
        const rows = accepted.map(acceptance => ({
          revision: acceptance.revision,
          acceptedAt: new Date(acceptance.acceptedAt).toISOString(),
          author: acceptance.author,
          operationId: acceptance.operationId,
        }));
        writeRows(options.output, rows, accepted);
      },
    )
    .command(
      'diff [file]',
      'compare a file or an earlier revision with the active profiles',
      sub =>
        sub
          .options(operatorOptions)
          .positional('file', {
            type: 'string',
            describe: 'profile file to compare with, in place of a revision',
          })
          .option('from', {
            type: 'number',
            describe: 'revision to compare; the active one by default',
          })
          .option('to', {
            type: 'number',
            describe: 'revision to compare with; the active one by default',
          }),
      async options => {
        const client = createClient(options);
        const before = await readProfilesAt(client, options.from);
        const after =
          options.file === undefined
            ? await readProfilesAt(client, options.to)
            : readProfileFile(options.file);
        writeDifferences(options.output, diffProfiles(before, after));
      },
    );
}

async function readProfilesAt(
  client: OperatorClient,
  revision: number | undefined,
): Promise<readonly Profile[]> {
  const path =
    revision === undefined
      ? '/v1/configuration'
      : `/v1/configuration/history/${revision}`;
  const found = await client.call<Configuration | null>('GET', path);
  return found?.profiles ?? [];
}

function writeDifferences(
  output: Output,
  differences: readonly FieldDifference[],
): void {
  const rows = differences.map(({place, before = '', after = ''}) => ({
    field: place,
    before,
    after,
  }));
  writeRows(output, rows, differences);
}
