import type {Argv} from 'yargs';
import {findSite, siteOptions} from '../../stand_ins/site';
import {runDemo} from '../demo/run_demo';
import {ExitCode} from '../exit_code';
import {Output, writeRows} from '../output';

/**
 * Adds the command that runs the whole system on this machine as a
 * demonstration.
 */
export function addDemo(yargs: Argv): Argv {
  return yargs.command(
    'demo',
    'run entry hosts, platform and workers in one process and print statistics',
    command =>
      command
        .options(siteOptions)
        .option('seconds', {type: 'number', default: 15})
        .option('entries', {type: 'number', default: 7})
        .option('output', {
          choices: Object.values(Output),
          default: Output.Table,
        }),
    async options => {
      const summary = await runDemo({
        site: findSite(options.site),
        seconds: options.seconds,
        entries: options.entries,
        progress: line => process.stderr.write(`${line}\n`),
      });
      const rows = Object.entries(summary).map(([measure, value]) => ({
        measure,
        value: typeof value === 'object' ? JSON.stringify(value) : value,
      }));
      writeRows(options.output, rows, summary);
      const failed =
        summary.jobsLost + summary.budgetBreaches + summary.doubled > 0 ||
        summary.answered === 0 ||
        summary.jobsDone === 0;
      process.exit(failed ? ExitCode.Failed : ExitCode.Done);
    },
  );
}
