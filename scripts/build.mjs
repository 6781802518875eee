// Builds dist/sesamefront, one executable file, from src/main.ts.
import {execFileSync} from 'node:child_process';
import {chmodSync, copyFileSync, mkdirSync, writeFileSync} from 'node:fs';
import {build} from 'esbuild';
import {inject} from 'postject';
import {readFileSync} from 'node:fs';

const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const version = JSON.parse(readFileSync('package.json', 'utf8')).version;

mkdirSync('dist', {recursive: true});
await build({
  entryPoints: ['src/main.ts'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outfile: 'dist/main.cjs',
  logLevel: 'warning',
  define: {
    'import.meta.url': 'importMetaUrl',
    SESAMEFRONT_BUILD_VERSION: JSON.stringify(version),
  },
  banner: {
    js: "const importMetaUrl=require('node:url').pathToFileURL(__filename).href;",
  },
});
writeFileSync(
  'dist/sea.json',
  JSON.stringify({
    main: 'dist/main.cjs',
    output: 'dist/sea.blob',
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], {
  stdio: ['ignore', 'ignore', 'inherit'],
});
copyFileSync(process.execPath, 'dist/sesamefront');
chmodSync('dist/sesamefront', 0o755);
await inject(
  'dist/sesamefront',
  'NODE_SEA_BLOB',
  readFileSync('dist/sea.blob'),
  {
    sentinelFuse: FUSE,
  },
);
console.log(`built dist/sesamefront ${version}`);
