// Builds what an entry host runs on the users' platform, from platform/main.ts;
// to target/entry.cjs unless another file is named.
import {execFileSync} from 'node:child_process';
import {mkdirSync} from 'node:fs';
import {dirname} from 'node:path';
import {build} from 'esbuild';

/** Returns the commit of the code; `unknown` outside of a checkout. */
function readCommit() {
  try {
    const words = 'describe --always --exclude=* --dirty --abbrev=12';
    const stdio = ['ignore', 'pipe', 'ignore'];
    return execFileSync('git', words.split(' '), {stdio}).toString().trim();
  } catch {
    return 'unknown';
  }
}

const [outfile = 'target/entry.cjs'] = process.argv.slice(2);
mkdirSync(dirname(outfile), {recursive: true});
await build({
  entryPoints: ['platform/main.ts'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  define: {BUILD_COMMIT: JSON.stringify(readCommit())},
  outfile,
  logLevel: 'warning',
});
console.log(`built ${outfile}`);
