import type {Argv} from 'yargs';
import {HostExplanation} from '../../actors/fleet';
import {HostAssignment, PoolHost} from '../../types';
import {Output, writeRows} from '../output';
import {createClient, operatorOptions} from './shared_options';

interface ListedHost extends PoolHost {
  readonly pool: string;
}

/** Adds the commands that list, show and release hosts. */
export function addHost(yargs: Argv): Argv {
  return yargs.command('host', 'list, show and release hosts', command =>
    command
      .command(
        'list',
        'list all hosts with their pools and states',
        sub => sub.options(operatorOptions),
        async options => {
          const client = createClient(options);
          const hosts = await client.call<ListedHost[]>('GET', '/v1/hosts');
          const rows = hosts.map(({host, pool, state}) => ({
            id: host.id,
            pool,
            state,
            rack: host.rack,
            zone: host.availabilityZone,
          }));
          writeRows(options.output, rows, hosts);
        },
      )
      .command(
        'show <id>',
        "show a host's state with an explanation, such as why it is not drained yet",
        sub => addId(sub.options(operatorOptions)),
        async options => {
          const path = `/v1/hosts/${encodeURIComponent(options.id)}`;
          const client = createClient(options);
          const shown = await client.call<HostExplanation>('GET', path);
          writeExplanation(options.output, shown);
        },
      )
      .command(
        'release <id>',
        'return a quarantined host to service',
        sub => addId(sub.options(operatorOptions)),
        async options => {
          const path = `/v1/hosts/${encodeURIComponent(options.id)}/release`;
          const client = createClient(options);
          const host = await client.call<HostAssignment>('POST', path);
          const row = {id: host.hostId, pool: host.pool, released: true};
          writeRows(options.output, [row], host);
        },
      )
      .demandCommand(1),
  );
}

function addId<T>(command: Argv<T>) {
  return command.positional('id', {type: 'string', demandOption: true});
}

function writeExplanation(output: Output, explanation: HostExplanation): void {
  const {assignment, rotationAt} = explanation;
  const lastMaintainedAt = assignment?.lastMaintainedAt ?? 0;
  const row = {
    id: explanation.id,
    pool: assignment?.pool ?? 'none',
    state: explanation.state,
    maintained:
      lastMaintainedAt > 0 ? new Date(lastMaintainedAt).toISOString() : 'never',
    rotation: rotationAt ? new Date(rotationAt).toISOString() : 'none',
  };
  writeRows(output, [row], explanation);
  if (output === Output.Json) return;
  for (const line of explanation.explanation) process.stdout.write(`${line}\n`);
}
