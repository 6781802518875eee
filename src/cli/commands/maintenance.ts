import type {Argv} from 'yargs';
import {parseDuration} from '../../profiles';
import {SelectorKind, Wave} from '../../types';
import {ExitCode} from '../exit_code';
import {writeFindings} from '../findings';
import {Row, writeRows} from '../output';
import {clientOf, operatorOptions} from './shared_options';

/** Adds the commands about maintenance waves. */
export function addMaintenance(yargs: Argv): Argv {
  return yargs.command('maintenance', 'declare and follow waves', command =>
    command
      .command(
        'declare <kind> [name]',
        'declare maintenance of all hosts, a pool, rack, zone or host',
        sub =>
          sub
            .options(operatorOptions)
            .positional('kind', {
              choices: Object.values(SelectorKind),
              demandOption: true,
            })
            .positional('name', {type: 'string', default: ''})
            .option('reason', {type: 'string', demandOption: true})
            .option('due-in', {type: 'string', default: '12h'})
            .option('urgent', {type: 'boolean', default: false}),
        async options => {
          const dueMs = parseDuration(options.dueIn);
          if (dueMs === undefined) {
            writeFindings([{place: '--due-in', message: 'is no duration'}]);
            process.exit(ExitCode.BadInput);
          }
          const wave = await clientOf(options).call<Wave>('POST', '/v1/waves', {
            selector: {kind: options.kind, name: options.name},
            reason: options.reason,
            urgent: options.urgent,
            dueAt: Date.now() + dueMs,
          });
          writeRows(options.output, [rowOf(wave)], wave);
        },
      )
      .command(
        'list',
        'list the waves',
        sub => sub.options(operatorOptions),
        async options => {
          const waves = await clientOf(options).call<Wave[]>(
            'GET',
            '/v1/waves',
          );
          writeRows(options.output, waves.map(rowOf), waves);
        },
      )
      .command(
        'show <id>',
        'show one wave',
        sub =>
          sub
            .options(operatorOptions)
            .positional('id', {type: 'string', demandOption: true}),
        async options => {
          const wave = await clientOf(options).call<Wave>(
            'GET',
            `/v1/waves/${options.id}`,
          );
          writeRows(options.output, [rowOf(wave)], wave);
        },
      )
      .command(
        'cancel <id>',
        'cancel a wave; hosts being drained finish',
        sub =>
          sub
            .options(operatorOptions)
            .positional('id', {type: 'string', demandOption: true}),
        async options => {
          const wave = await clientOf(options).call<Wave>(
            'DELETE',
            `/v1/waves/${options.id}`,
          );
          writeRows(options.output, [rowOf(wave)], wave);
        },
      )
      .demandCommand(1),
  );
}

function rowOf(wave: Wave): Row {
  return {
    id: wave.id,
    selector: `${wave.selector.kind} ${wave.selector.name}`.trim(),
    hosts: wave.hostIds.length,
    state: wave.state,
    cause: wave.cause,
  };
}
