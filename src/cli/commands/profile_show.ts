import type {Argv} from 'yargs';
import {Configuration} from '../../types';
import {writeRows} from '../output';
import {createClient, operatorOptions} from './shared_options';

/** Adds the command that shows the active profiles. */
export function addProfileShow(yargs: Argv): Argv {
  return yargs.command(
    ['get', 'list'],
    'show the active profiles',
    sub => sub.options(operatorOptions),
    async options => {
      const client = createClient(options);
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
