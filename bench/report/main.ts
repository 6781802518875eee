import {execFileSync} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {BENCHES} from '../benches';
import {BenchReport} from '../shared';
import {writeSlopes} from './capacity';
import {createHtml, createMarkdown} from './pages';
import {Round, RoundFailure, readLastRound, writeRound} from './round';

const SEED = 1;

const {values} = parseArgs({
  options: {quick: {type: 'boolean', default: false}},
});
const progress = (line: string) => process.stderr.write(`${line}\n`);
const reports: BenchReport[] = [];
const failures: RoundFailure[] = [];

for (const [name, bench] of Object.entries(BENCHES)) {
  progress(`bench ${name}`);
  try {
    reports.push(await bench({seed: SEED, quick: values.quick, progress}));
  } catch (error) {
    failures.push({bench: name, message: (error as Error).message});
  }
}

const previousRound = readLastRound();
const commit = execFileSync('git', ['rev-parse', '--short', 'HEAD']).toString();
const round: Round = {
  number: (previousRound?.number ?? 0) + 1,
  commit: commit.trim(),
  quick: values.quick,
  reports,
  failures,
};
writeRound(round);
writeSlopes(round);
writeFileSync('reports/latest.md', createMarkdown(round, previousRound));
writeFileSync('reports/latest.html', createHtml(round, previousRound));
const measures = reports.flatMap(report => report.measures);
const metCount = measures.filter(measure => measure.holds).length;
process.stdout.write(
  `round ${round.number}: ${metCount} of ${measures.length} targets met, ${failures.length} benches failed\n`,
);
process.exit(0);
