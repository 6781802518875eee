import {readFileSync} from 'node:fs';
import type {Argv} from 'yargs';
import {readProfiles} from '../../profiles';
import {Finding} from '../../types';
import {ExitCode} from '../exit_code';
import {writeFindings} from '../findings';

/** Adds the command that checks profile files. */
export function addCheck(yargs: Argv): Argv {
  return yargs.command(
    'check <files..>',
    'check profile files and report every finding',
    command =>
      command.positional('files', {
        type: 'string',
        array: true,
        demandOption: true,
        describe: 'YAML files with one document per profile',
      }),
    options => {
      const findings: Finding[] = [];
      let count = 0;
      for (const file of options.files) {
        const result = readProfiles(readFileSync(file, 'utf8'), file);
        if (result.isErr) findings.push(...result.error);
        else count += result.value.length;
      }
      if (findings.length > 0) {
        writeFindings(findings);
        process.exit(ExitCode.BadInput);
      }
      process.stdout.write(`${count} profiles hold together\n`);
    },
  );
}
