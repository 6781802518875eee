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
/** Reboot time on the paused clock. */
const REBOOT_MS = 60_000;
/** Reboot time of the run over processes. */
const PROCESS_REBOOT_MS = 4_000;
const INTERLEAVINGS = 2_500;
const QUICK_INTERLEAVINGS = 300;
const STEPS = 300;
const BURST_HOURS = 0.5;
const QUICK_BURST_HOURS = 0.1;
const FAILURE_HOURS = 8;
const QUICK_FAILURE_HOURS = 2;
const ROLLOUT_TARGET = 1.15;
const MOVES_TARGET = 2;

const TWO_POOLS: readonly HistoryFault[] = [
  HistoryFault.TwoPools,
  HistoryFault.UnannouncedMove,
];

/**
 * Measures roll-outs, budgets, moves and the buffer at both sites' sizes.
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
  const runs = quick ? QUICK_INTERLEAVINGS : INTERLEAVINGS;
  const model = await runInterleavings(runs, STEPS, seed, tickSync);
  resumeClock();
  progress('roll-out over processes');
  const overProcesses = await runProcessRollout(
    SITES[0].name,
    ENTRIES,
    PROCESS_REBOOT_MS,
  );

  const ours = rollouts.filter(run => run.plan === RolloutPlan.Budget);
  const breaches = model.findings.filter(
    finding => !TWO_POOLS.includes(finding.fault),
  );
  const histories = [...rollouts, ...bursts, ...failures].reduce(
    (sum, run) => sum + run.historyFindings,
    0,
  );
  return {
    bench: 'fleet',
    seed,
    measures: [
      atMost(
        'rollout-over-lower-bound',
        Math.max(...ours.map(run => run.overLowerBound)),
        ROLLOUT_TARGET,
      ),
      atMost(
        'rollout-over-lower-bound-processes',
        overProcesses.overLowerBound,
        ROLLOUT_TARGET,
      ),
      ...compareWithBaselines(rollouts),
      atMost('budget-breaches', breaches.length, 0),
      atMost('hosts-in-two-pools', model.findings.length - breaches.length, 0),
      atMost('history-findings', histories, 0),
      atMost('moves-per-pool-day', most(failures), MOVES_TARGET),
      atMost('moves-on-bursts', most(bursts), 0),
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

function most(reports: readonly MovesReport[]): number {
  return Math.max(...reports.map(report => report.perPoolDay));
}

/** Compares each baseline's roll-out with ours at the same site. */
function compareWithBaselines(
  rollouts: readonly Rollout[],
): readonly Measure[] {
  const baselines = rollouts.filter(run => run.plan !== RolloutPlan.Budget);
  return baselines.map(({site, plan, rolloutMs}) => {
    const ours = rollouts.find(
      run => run.site === site && run.plan === RolloutPlan.Budget,
    );
    const name = `rollout-of-${plan} ${site}`;
    return atMost(name, (ours?.rolloutMs ?? Infinity) / rolloutMs, 1);
  });
}
