import {runCommandLine} from './cli';

/** Entry point of the executable. */
void runCommandLine(process.argv.slice(2));
