import yargs from 'yargs';
import {addCheck} from './commands/check';
import {addDemo} from './commands/demo';
import {addHost} from './commands/host';
import {addJob} from './commands/job';
import {addMaintenance} from './commands/maintenance';
import {addProfile} from './commands/profile';
import {addRun} from './commands/run';
import {addStandIn} from './commands/stand_in';
import {addStatus} from './commands/status';
import {ExitCode} from './exit_code';
import {VERSION} from './version';

/**
 * Parses the command line and runs the command that it names.
 *
 * @param args arguments, without the name of the program
 */
export async function runCommandLine(args: readonly string[]): Promise<void> {
  const parser = yargs([...args])
    .scriptName('sesamefront')
    .version(VERSION)
    .strict()
    .recommendCommands()
    .completion()
    .demandCommand(1, 'missing command')
    .fail((message, error) => {
      process.stderr.write(`${message ?? error.message}\n`);
      process.exit(error ? ExitCode.Failed : ExitCode.BadInput);
    });
  addRun(parser);
  addDemo(parser);
  addCheck(parser);
  addProfile(parser);
  addMaintenance(parser);
  addJob(parser);
  addHost(parser);
  addStatus(parser);
  addStandIn(parser);
  await parser.parseAsync();
}
