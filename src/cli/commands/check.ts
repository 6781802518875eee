import type {Argv} from 'yargs';
import {createProfileJsonSchema, explainProfile} from '../../profiles';
import {ExitCode} from '../exit_code';
import {writeFindings} from '../write_findings';
import {readProfileFiles} from '../read_profile_files';

/**
 * Adds the commands that validate profile files and print the profile schema.
 */
export function addCheck(yargs: Argv): Argv {
  return yargs
    .command(
      'check <files..>',
      'validate profile files and explain each field, or report all findings',
      command =>
        command
          .positional('files', {
            type: 'string',
            array: true,
            demandOption: true,
            describe: 'YAML files with one document per profile',
          })
          .option('quiet', {
            type: 'boolean',
            default: false,
            describe: 'do not print the explanation of the profiles',
          })
          .example('$0 check profiles.yaml', 'validate and explain a file'),
      options => {
        const read = readProfileFiles(options.files);
        if (read.isErr) {
          writeFindings(read.error);
          process.exit(ExitCode.BadInput);
        }
        for (const profile of options.quiet ? [] : read.value) {
          process.stdout.write(`${profile.name}\n`);
          for (const sentence of explainProfile(profile)) {
            process.stdout.write(`  ${sentence}\n`);
          }
        }
        process.stdout.write(`${read.value.length} profiles are valid\n`);
      },
    )
    .command(
      'schema',
      'print the JSON Schema of a profile document',
      command => command,
      () => {
        const schema = createProfileJsonSchema();
        process.stdout.write(`${JSON.stringify(schema, undefined, 2)}\n`);
      },
    );
}
