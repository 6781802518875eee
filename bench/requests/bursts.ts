import {SlotPolicyKind} from '../../src/decisions/requests';
import {delay} from '../../src/state';
import {
  BenchOptions,
  Measure,
  ProcessSite,
  above,
  atLeast,
  atMost,
  createProcessSite,
} from '../shared';
import {measureAddedTime} from './added_time';
import {measureLeavingHost} from './leaving_host';
import {BurstResult, runBursts} from './policy_burst';
import {measureRetries} from './retries';
import {measureStoreOutage} from './store_outage';

const FIRST_PORT = 22_000;
const PORTS_PER_SITE = 100;
const ENTRIES = 7;
/** Time for the first slot loans after the start, in ms. */
const SETTLE_MS = 2_500;

/**
 * Runs the same bursts of requests under each slot policy, with the same seed,
 * and compares the goodput.
 */
export async function measureBursts(
  options: BenchOptions,
): Promise<readonly Measure[]> {
  const furtherMeasures: Measure[] = [];
  const lending = await runPolicy(SlotPolicyKind.Lending, 0, options, site =>
    takeFurtherMeasures(site, options, furtherMeasures),
  );
  const split = await runPolicy(SlotPolicyKind.StaticSplit, 1, options);
  const twoChoices = await runPolicy(SlotPolicyKind.TwoChoices, 2, options);
  return [
    atLeast('burst-goodput-ratio', lending.goodput, 0.95),
    above(
      'burst-goodput-over-static-split',
      lending.goodput / split.goodput,
      1,
    ),
    above(
      'burst-goodput-over-two-choices',
      lending.goodput / twoChoices.goodput,
      1,
    ),
    atMost('slots-exceeded', lending.exceeded, 0),
    atMost('false-not-run', lending.falseNotRun, 0),
    atMost('refusal-ms-p50', lending.refusalMs, 100),
    atMost('answers-wrong-or-cut', lending.wrongOrTruncated, 0),
    ...furtherMeasures,
  ];
}

async function takeFurtherMeasures(
  site: ProcessSite,
  options: BenchOptions,
  measures: Measure[],
): Promise<void> {
  measures.push(await measureAddedTime(site));
  measures.push(await measureRetries(site, options));
  measures.push(await measureLeavingHost(site));
  measures.push(await measureStoreOutage(site, options));
}

async function runPolicy(
  kind: SlotPolicyKind,
  index: number,
  options: BenchOptions,
  measureMore?: (site: ProcessSite) => Promise<void>,
): Promise<BurstResult> {
  const site = await createProcessSite({
    entries: ENTRIES,
    firstPort: FIRST_PORT + index * PORTS_PER_SITE,
    runArgs: ['--slot-policy', kind],
  });
  try {
    await delay(SETTLE_MS);
    const result = await runBursts(site, kind, options);
    await measureMore?.(site);
    return result;
  } finally {
    await site.dispose();
  }
}
