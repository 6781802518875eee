import type {Argv} from 'yargs';
import {Decision, MemberView} from '../../types';
import {Output, writeRows} from '../output';
import {createClient, operatorOptions} from './shared_options';

interface Status {
  readonly members: readonly MemberView[];
  readonly pools: readonly {
    readonly pool: string;
    readonly leader?: string;
    /** Wall-clock time in ms since the epoch. */
    readonly leaderSince?: number;
    readonly term?: number;
    readonly hosts: number;
    readonly unavailable: readonly unknown[];
    readonly maxUnavailable: number;
  }[];
}

interface Explanation {
  readonly decisions: readonly Decision[];
  readonly silentMembers: readonly string[];
}

/** Adds the commands that show and explain the state of the system. */
export function addStatus(yargs: Argv): Argv {
  return yargs
    .command(
      'status',
      'show members, pools and budgets',
      command => command.options(operatorOptions),
      async options => {
        const client = createClient(options);
        const status = await client.call<Status>('GET', '/v1/status');
        const rows = status.pools.map(pool => ({
          ...pool,
          leaderSince: formatTime(pool.leaderSince),
          unavailable: pool.unavailable.length,
        }));
        writeRows(options.output, rows, status);
        if (options.output === Output.Json) return;
        process.stdout.write('\n');
        writeRows(options.output, status.members.map(toMemberRow));
      },
    )
    .command(
      'explain <id>',
      'show the decisions that concern a job, host, wave, pool or revision',
      command =>
        command
          .options(operatorOptions)
          .positional('id', {type: 'string', demandOption: true}),
      async options => {
        const explanation = await createClient(options).call<Explanation>(
          'GET',
          `/v1/explain/${encodeURIComponent(options.id)}`,
        );
        const {decisions, silentMembers} = explanation;
        const rows = decisions.map(decision => ({
          at: new Date(decision.at).toISOString(),
          member: decision.memberId,
          decision: decision.kind,
          cause: decision.cause,
        }));
        writeRows(options.output, rows, explanation);
        if (silentMembers.length === 0) return;
        const missing = silentMembers.join(', ');
        process.stderr.write(`members that did not respond: ${missing}\n`);
      },
    );
}

function toMemberRow(view: MemberView) {
  return {
    member: view.memberId,
    zone: view.availabilityZone,
    verdict: view.verdict,
    revision: view.revision,
    cause: view.cause,
  };
}

function formatTime(at: number | undefined): string {
  return at === undefined ? '' : new Date(at).toISOString();
}
