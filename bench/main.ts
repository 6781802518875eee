import {parseArgs} from 'node:util';
import {BENCHES, BENCH_PARTS} from './benches';

const DEFAULT_SEED = 1;

const {values, positionals} = parseArgs({
  allowPositionals: true,
  options: {
    quick: {type: 'boolean', default: false},
    seed: {type: 'string', default: String(DEFAULT_SEED)},
    output: {type: 'string', default: 'table'},
  },
});

const runnable = {...BENCHES, ...BENCH_PARTS};
const bench = runnable[positionals[0]];
if (!bench) {
  process.stderr.write(
    `available benches: ${Object.keys(runnable).join(', ')}\n`,
  );
  process.exit(2);
}
const report = await bench({
  seed: Number(values.seed),
  quick: values.quick,
  progress: line => process.stderr.write(`${line}\n`),
});
if (values.output === 'json') {
  process.stdout.write(`${JSON.stringify(report)}\n`);
} else {
  for (const {name, value, target, holds} of report.measures) {
    const verdict = holds ? 'holds' : 'FAILS';
    process.stdout.write(`${verdict}  ${name}  ${value}  (${target})\n`);
  }
}
process.exit(report.measures.every(measure => measure.holds) ? 0 : 1);
