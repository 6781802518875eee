import type {Argv} from 'yargs';
import {addProfileApply} from './profile_apply';
import {addProfileHistory} from './profile_history';
import {addProfileShow} from './profile_show';

/** Adds the commands that show, compare and apply profiles. */
export function addProfile(yargs: Argv): Argv {
  return yargs.command(
    'profile',
    'show, compare and apply profiles',
    command => {
      addProfileApply(command);
      addProfileShow(command);
      addProfileHistory(command);
      return command.demandCommand(1);
    },
  );
}
