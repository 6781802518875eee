import {runInterleavings} from '../../features/fleet/interleavings';
import {pauseClock, resumeClock, tickSync} from '../../features/support/clock';
import {HistoryFault} from '../../src/history/fleet';
import {SITES} from '../../src/stand_ins/site';
import {Bench, Measure, atMost} from '../shared';
import {BufferCost, measureBuffer} from './buffer';
import {MovesReport, countMovesInBursts, countMovesInFailures} from './moves';
import {runProcessRollout} from './process_rollout';
import {Rollout, RolloutPlan, runRollout} from './rollout';

const ENTRIES = 7;
/** Reboot time of the runs on the paused clock. */
const REBOOT_MS = 60_000;
/** Reboot time of the roll-out over processes. */
const PROCESS_REBOOT_MS = 4_000;
const INTERLEAVING_COUNT = 2_500;
const QUICK_INTERLEAVING_COUNT = 300;
const STEPS_PER_INTERLEAVING = 300;
const BURST_HOURS = 0.5;
const QUICK_BURST_HOURS = 0.1;
const FAILURE_HOURS = 8;
const QUICK_FAILURE_HOURS = 2;
const MAX_ROLLOUT_RATIO = 1.15;
const MAX_MOVES_PER_POOL_DAY = 2;

const POOL_FAULTS: readonly HistoryFault[] = [
  HistoryFault.TwoPools,
  HistoryFault.UnannouncedMove,
];

/**
 * Measures roll-outs, budgets, moves and slots out of service at both sites.
 *
 * Roll-outs, moves and interleavings run in memory on a paused clock; one
 * roll-out runs over processes.
 */
export const runFleetBench: Bench = async ({seed, quick, progress}) => {
  const rollouts: Rollout[] = [];
  const buffers: BufferCost[] = [];
  const bursts: MovesReport[] = [];
  const failures: MovesReport[] = [];
  for (const {name} of SITES) {
    for (const plan of Object.values(RolloutPlan)) {
      progress(`roll-out over ${name}, ${plan}`);
      rollouts.push(
        await runRollout({
          siteName: name,
          plan,
          seed,
          entries: ENTRIES,
          rebootMs: REBOOT_MS,
        }),
      );
    }
    buffers.push(await measureBuffer(name, seed));
    progress(`moves of ${name}`);
    const burstHours = quick ? QUICK_BURST_HOURS : BURST_HOURS;
    bursts.push(await countMovesInBursts(name, seed, burstHours));
    const hours = quick ? QUICK_FAILURE_HOURS : FAILURE_HOURS;
    failures.push(await countMovesInFailures(name, seed, hours));
  }
  progress('interleavings');
  pauseClock(seed);
  const runs = quick ? QUICK_INTERLEAVING_COUNT : INTERLEAVING_COUNT;
  const model = await runInterleavings(
    runs,
    STEPS_PER_INTERLEAVING,
    seed,
    tickSync,
  );
  resumeClock();
  progress('roll-out over processes');
  const overProcesses = await runProcessRollout(
    SITES[0].name,
    ENTRIES,
    PROCESS_REBOOT_MS,
  );

  const budgetRollouts = rollouts.filter(
    run => run.plan === RolloutPlan.Budget,
  );
  const budgetFindings = model.findings.filter(
    finding => !POOL_FAULTS.includes(finding.fault),
  );
  const historyFindings = [...rollouts, ...bursts, ...failures].reduce(
    (sum, run) => sum + run.historyFindings,
    0,
  );
  return {
    bench: 'fleet',
    seed,
    measures: [
      atMost(
        'rollout-over-lower-bound',
        Math.max(...budgetRollouts.map(run => run.overLowerBound)),
        MAX_ROLLOUT_RATIO,
      ),
      atMost(
        'rollout-over-lower-bound-processes',
        overProcesses.overLowerBound,
        MAX_ROLLOUT_RATIO,
      ),
      ...compareWithBaselines(rollouts),
      atMost('budget-breaches', budgetFindings.length, 0),
      atMost(
        'hosts-in-two-pools',
        model.findings.length - budgetFindings.length,
        0,
      ),
      atMost('history-findings', historyFindings, 0),
      atMost(
        'moves-per-pool-day',
        getMaxMoves(failures),
        MAX_MOVES_PER_POOL_DAY,
      ),
      atMost('moves-on-bursts', getMaxMoves(bursts), 0),
      ...buffers.map(({site, ratio, fixedReserveRatio}) =>
        atMost(`buffer-cost-ratio ${site}`, ratio, fixedReserveRatio),
      ),
    ],
    details: {
      rollouts,
      overProcesses,
      interleavings: {...model, findings: model.findings.slice(0, 10)},
      bursts,
      failures,
      buffers,
    },
  };
};

function getMaxMoves(reports: readonly MovesReport[]): number {
  return Math.max(...reports.map(report => report.perPoolDay));
}

/**
 * Compares the budget roll-out with each baseline at the same site, as a ratio.
 */
function compareWithBaselines(
  rollouts: readonly Rollout[],
): readonly Measure[] {
  const baselines = rollouts.filter(run => run.plan !== RolloutPlan.Budget);
  return baselines.map(({site, plan, rolloutMs}) => {
    const budgetRollout = rollouts.find(
      run => run.site === site && run.plan === RolloutPlan.Budget,
    );
    const name = `rollout-of-${plan} ${site}`;
    return atMost(name, (budgetRollout?.rolloutMs ?? Infinity) / rolloutMs, 1);
  });
}
