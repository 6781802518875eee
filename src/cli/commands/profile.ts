import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import type {Argv} from 'yargs';
import {readProfiles} from '../../profiles';
import {Configuration} from '../../types';
import {ExitCode} from '../exit_code';
import {writeFindings} from '../findings';
import {writeRows} from '../output';
import {clientOf, operatorOptions} from './shared_options';

/** Adds the commands about profiles. */
export function addProfile(yargs: Argv): Argv {
  return yargs.command('profile', 'read and change profiles', command =>
    command
      .command(
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
            .option('author', {type: 'string', default: 'operator'}),
        async options => {
          const text = readFileSync(options.file, 'utf8');
          const read = readProfiles(text, options.file);
          if (read.isErr) {
            writeFindings(read.error);
            process.exit(ExitCode.BadInput);
          }
          const client = clientOf(options);
          const current = await client.call<Configuration | null>(
            'GET',
            '/v1/configuration',
          );
          const applied = await client.call<Configuration>(
            'PUT',
            '/v1/configuration',
            {
              baseRevision: options.baseRevision ?? current?.revision ?? 0,
              operationId: options.operationId ?? randomUUID(),
              author: options.author,
              profiles: read.value,
            },
          );
          const {revision, operationId} = applied;
          writeRows(options.output, [{revision, operationId}], applied);
        },
      )
      .command(
        'get',
        'show the profiles in force',
        sub => sub.options(operatorOptions),
        async options => {
          const client = clientOf(options);
          const current = await client.call<Configuration | null>(
            'GET',
            '/v1/configuration',
          );
          const rows = (current?.profiles ?? []).map(profile => ({
            name: profile.name,
            pool: profile.pool,
            hosts: profile.hosts,
            maxUnavailable: profile.maxUnavailable,
            rank: profile.rank,
          }));
          writeRows(options.output, rows, current);
        },
      )
      .demandCommand(1),
  );
}
