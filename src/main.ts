import {runCommandLine} from './cli';

/** Entry point of the binary. */
void runCommandLine(process.argv.slice(2));
