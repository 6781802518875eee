import type {Argv} from 'yargs';
import {Decision} from '../../types';
import {writeRows} from '../output';
import {clientOf, operatorOptions} from './shared_options';

interface Status {
  readonly pools: readonly {
    readonly pool: string;
    readonly leader?: string;
    readonly term?: number;
    readonly hosts: number;
    readonly unavailable: readonly unknown[];
    readonly maxUnavailable: number;
  }[];
}

/** Adds the commands that show and explain the state of the system. */
export function addStatus(yargs: Argv): Argv {
  return yargs
    .command(
      'status',
      'show members, pools and budgets',
      command => command.options(operatorOptions),
      async options => {
        const client = clientOf(options);
        const status = await client.call<Status>('GET', '/v1/status');
        const rows = status.pools.map(pool => ({
          ...pool,
          unavailable: pool.unavailable.length,
        }));
        writeRows(options.output, rows, status);
      },
    )
    .command(
      'explain <id>',
      'show the decisions about a job, host, wave, pool or revision',
      command =>
        command
          .options(operatorOptions)
          .positional('id', {type: 'string', demandOption: true}),
      async options => {
        const decisions = await clientOf(options).call<Decision[]>(
          'GET',
          `/v1/explain/${encodeURIComponent(options.id)}`,
        );
        const rows = decisions.map(decision => ({
          at: new Date(decision.at).toISOString(),
          member: decision.memberId,
          decision: decision.kind,
          cause: decision.cause,
        }));
        writeRows(options.output, rows, decisions);
      },
    );
}
