import {isDeepStrictEqual} from 'node:util';
import type {Argv} from 'yargs';
import {WavePlan, WaveProgress} from '../../decisions/fleet';
import {parseDuration} from '../../profiles';
import {delay} from '../../state';
import {SelectorKind, Wave, WaveState} from '../../types';
import {ExitCode} from '../exit_code';
import {writeFindings} from '../write_findings';
import {Output, Row, writeRows} from '../output';
import {createClient, operatorOptions} from './shared_options';

interface WaveDetails extends Wave {
  readonly progress: WaveProgress;
  readonly explanation: readonly string[];
}

const FOLLOW_INTERVAL_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Adds the commands that declare and track maintenance waves. */
export function addMaintenance(yargs: Argv): Argv {
  return yargs.command(
    'maintenance',
    'declare and track maintenance waves',
    command =>
      command
        .command(
          'declare <kind> [name]',
          'declare maintenance of all hosts or of one pool, rack, zone or host',
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
                describe: 'print the plan without declaring the wave',
              }),
          async options => {
            const dueMs = parseDuration(options.dueIn);
            if (dueMs === undefined) {
              writeFindings([
                {place: '--due-in', message: 'is not a duration'},
              ]);
              process.exit(ExitCode.BadInput);
            }
            const client = createClient(options);
            const selector = {kind: options.kind, name: options.name};
            if (options.dryRun) {
              const path = '/v1/wave-plans';
              const plan = await client.call<WavePlan>('POST', path, {
                selector,
              });
              return writePlan(options.output, plan);
            }
            const wave = await client.call<Wave>('POST', '/v1/waves', {
              selector,
              reason: options.reason,
              urgent: options.urgent,
              dueAt: Date.now() + dueMs,
            });
            writeRows(options.output, [toRow(wave)], wave);
          },
        )
        .command(
          'list',
          'list all waves',
          sub => sub.options(operatorOptions),
          async options => {
            const waves = await createClient(options).call<Wave[]>(
              'GET',
              '/v1/waves',
            );
            writeRows(options.output, waves.map(toRow), waves);
          },
        )
        .command(
          'show <id>',
          'show the progress of a wave and what it is waiting for',
          sub =>
            addId(sub.options(operatorOptions)).option('follow', {
              type: 'boolean',
              default: false,
              describe: 'print every update until the wave ends',
            }),
          async options => {
            const client = createClient(options);
            const path = `/v1/waves/${encodeURIComponent(options.id)}`;
            let shown = await client.call<WaveDetails>('GET', path);
            writeWave(options.output, shown);
            while (options.follow && isUnfinished(shown)) {
              await delay(FOLLOW_INTERVAL_MS);
              const next = await client.call<WaveDetails>('GET', path);
              if (!isDeepStrictEqual(next, shown)) {
                writeWave(options.output, next);
              }
              shown = next;
            }
          },
        )
        .command(
          'resume <id>',
          'resume a paused wave without the hosts that were lost in it',
          sub => addId(sub.options(operatorOptions)),
          async options => {
            const path = `/v1/waves/${encodeURIComponent(options.id)}/resume`;
            const wave = await createClient(options).call<Wave>('POST', path);
            writeRows(options.output, [toRow(wave)], wave);
          },
        )
        .command(
          'cancel <id>',
          'cancel a wave; draining hosts return to service, started reboots finish',
          sub => addId(sub.options(operatorOptions)),
          async options => {
            const wave = await createClient(options).call<Wave>(
              'DELETE',
              `/v1/waves/${options.id}`,
            );
            writeRows(options.output, [toRow(wave)], wave);
          },
        )
        .demandCommand(1),
  );
}

function toRow(wave: Wave): Row {
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

function isUnfinished({state}: Wave): boolean {
  return state === WaveState.Active || state === WaveState.Paused;
}

function writeWave(output: Output, details: WaveDetails): void {
  const {progress} = details;
  const row = {
    ...toRow(details),
    done: progress.done.length,
    underWay: progress.underWay.length,
    notReturned: progress.notReturned.length,
    waiting: progress.waiting.length,
    gone: progress.gone.length,
  };
  writeRows(output, [row], details);
  if (output === Output.Json) return;
  for (const line of details.explanation) process.stdout.write(`${line}\n`);
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
  const lowerBound = Math.round(plan.lowerBoundMs / MS_PER_SECOND);
  process.stdout.write(`expected ${expected} s, at least ${lowerBound} s\n`);
  for (const line of plan.obstacles) process.stdout.write(`${line}\n`);
}
