import type {Argv} from 'yargs';
import {Configuration} from '../../types';
import {writeRows} from '../output';
import {clientOf, operatorOptions} from './shared_options';

/** Adds the command that shows the profiles in force. */
export function addProfileShow(yargs: Argv): Argv {
  return yargs.command(
    ['get', 'list'],
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
  );
}
