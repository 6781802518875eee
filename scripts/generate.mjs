// Generates static protobuf code for every .proto under src/protocol/proto; the output is committed.
import {execFileSync} from 'node:child_process';
import {mkdirSync, readFileSync, readdirSync, writeFileSync} from 'node:fs';

const SOURCE = 'src/protocol/proto';
const TARGET = 'src/protocol/generated';

mkdirSync(TARGET, {recursive: true});
for (const file of readdirSync(SOURCE).filter(name =>
  name.endsWith('.proto'),
)) {
  const base = file.replace(/\.proto$/, '');
  execFileSync(
    'npx',
    [
      'pbjs',
      '-t',
      'static-module',
      '-w',
      'es6',
      '--no-comments',
      '--force-number',
      '--no-service',
      '-r',
      base,
      '-o',
      `${TARGET}/${base}.js`,
      `${SOURCE}/${file}`,
    ],
    {stdio: 'inherit'},
  );
  execFileSync(
    'npx',
    [
      'pbjs',
      '-t',
      'static-module',
      '-w',
      'es6',
      '--force-number',
      '--no-service',
      '-r',
      base,
      '-o',
      `${TARGET}/.${base}.commented.js`,
      `${SOURCE}/${file}`,
    ],
    {stdio: 'inherit'},
  );
  execFileSync(
    'npx',
    ['pbts', '-o', `${TARGET}/${base}.d.ts`, `${TARGET}/.${base}.commented.js`],
    {stdio: 'inherit'},
  );
  execFileSync('rm', [`${TARGET}/.${base}.commented.js`]);
  // Node's ES modules need the default import of this CommonJS package, with its extension.
  // Without Long, 64-bit fields decode to numbers, as their types say.
  const output = `${TARGET}/${base}.js`;
  const text = readFileSync(output, 'utf8').replace(
    'import * as $protobuf from "protobufjs/minimal"',
    'import $protobuf from "protobufjs/minimal.js";\n$protobuf.util.Long = undefined;\n$protobuf.configure()',
  );
  writeFileSync(output, text);
}
