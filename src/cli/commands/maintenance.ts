import {isDeepStrictEqual} from 'node:util';
import type {Argv} from 'yargs';
import {WavePlan, WaveProgress} from '../../decisions/fleet';
import {parseDuration} from '../../profiles';
import {delay} from '../../state';
import {SelectorKind, Wave, WaveState} from '../../types';
import {ExitCode} from '../exit_code';
import {writeFindings} from '../findings';
import {Output, Row, writeRows} from '../output';
import {clientOf, operatorOptions} from './shared_options';

interface ShownWave extends Wave {
  readonly progress: WaveProgress;
  readonly explanation: readonly string[];
}

const FOLLOW_MS = 1_000;
const MS_PER_SECOND = 1_000;

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
            .option('urgent', {type: 'boolean', default: false})
            .option('dry-run', {
              type: 'boolean',
              default: false,
              describe: 'show the plan without declaring the wave',
            }),
        async options => {
          const dueMs = parseDuration(options.dueIn);
          if (dueMs === undefined) {
            writeFindings([{place: '--due-in', message: 'is no duration'}]);
            process.exit(ExitCode.BadInput);
          }
          const client = clientOf(options);
          const selector = {kind: options.kind, name: options.name};
          if (options.dryRun) {
            const path = '/v1/wave-plans';
            const plan = await client.call<WavePlan>('POST', path, {selector});
            return writePlan(options.output, plan);
          }
          const wave = await client.call<Wave>('POST', '/v1/waves', {
            selector,
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
        'show how far a wave has come and what it waits for',
        sub =>
          addId(sub.options(operatorOptions)).option('follow', {
            type: 'boolean',
            default: false,
            describe: 'show it again until it has ended',
          }),
        async options => {
          const client = clientOf(options);
          const path = `/v1/waves/${encodeURIComponent(options.id)}`;
          let shown = await client.call<ShownWave>('GET', path);
          writeWave(options.output, shown);
          while (options.follow && isOpen(shown)) {
            await delay(FOLLOW_MS);
            const next = await client.call<ShownWave>('GET', path);
            if (!isDeepStrictEqual(next, shown)) {
              writeWave(options.output, next);
            }
            shown = next;
          }
        },
      )
      .command(
        'resume <id>',
        'let a paused wave go on without the hosts that it lost',
        sub => addId(sub.options(operatorOptions)),
        async options => {
          const path = `/v1/waves/${encodeURIComponent(options.id)}/resume`;
          const wave = await clientOf(options).call<Wave>('POST', path);
          writeRows(options.output, [rowOf(wave)], wave);
        },
      )
      .command(
        'cancel <id>',
        'cancel a wave; hosts being drained return, reboots finish',
        sub => addId(sub.options(operatorOptions)),
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

function addId<T>(command: Argv<T>) {
  return command.positional('id', {type: 'string', demandOption: true});
}

function isOpen({state}: Wave): boolean {
  return state === WaveState.Active || state === WaveState.Paused;
}

function writeWave(output: Output, shown: ShownWave): void {
  const {progress} = shown;
  const row = {
    ...rowOf(shown),
    done: progress.done.length,
    underWay: progress.underWay.length,
    notReturned: progress.notReturned.length,
    waiting: progress.waiting.length,
    gone: progress.gone.length,
  };
  writeRows(output, [row], shown);
  if (output === Output.Json) return;
  for (const line of shown.explanation) process.stdout.write(`${line}\n`);
}

function writePlan(output: Output, plan: WavePlan): void {
  const rows = plan.pools.map(pool => ({
    pool: pool.pool,
    hosts: pool.hosts,
    budget: pool.budget,
    unavailable: pool.unavailable,
    perHostSeconds: Math.round(pool.maintenanceMs / MS_PER_SECOND),
    lowerBoundSeconds: Math.round(pool.lowerBoundMs / MS_PER_SECOND),
    expectedSeconds: Math.round(pool.expectedMs / MS_PER_SECOND),
  }));
  writeRows(output, rows, plan);
  if (output === Output.Json) return;
  const expected = Math.round(plan.expectedMs / MS_PER_SECOND);
  const least = Math.round(plan.lowerBoundMs / MS_PER_SECOND);
  process.stdout.write(`expected ${expected} s, at least ${least} s\n`);
  for (const line of plan.obstacles) process.stdout.write(`${line}\n`);
}
