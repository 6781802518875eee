import {setInterval as everyMs} from 'node:timers';
import {delay} from '../../src/state';
import {createFaultApplier} from './apply_fault';
import {BOUNDS} from './bounds';
import {createCaller} from './caller';
import {createCallers, isCutWithoutCause} from './callers';
import {startConfigurationProbe} from './configuration_probe';
import {createDisturbances} from './disturbances';
import {OwnEnd} from './entry';
import {PAUSE_MS, createEntryRevival} from './entry_revival';
import {Fault, LinkKind} from './fault';
import {createOperator} from './operator';
import {completeWaveEarly, createPlants, cutAnswer, doubleRun} from './plant';
import {startProcessWatch} from './process_watch';
import {createRandom} from './random';
import {createRunHistory} from './run_history';
import {createServices} from './services';
import {createSoakSite} from './site';
import {CallEnd, Submission} from './submission';
import {Check, Verdict, Violation, createVerdict} from './verdict';

/** Options of one play of a fault list. */
export interface SoakOptions {
  readonly seed: number;
  readonly faults: readonly Fault[];
  /** Folder for settings, logs and histories. */
  readonly folder: string;
  readonly entryCount: number;
  /** Number of machines with work. */
  readonly hostCount: number;
  /** Checks for which a fault is planted that they must find. */
  readonly planted: readonly Check[];
  readonly progress: (line: string) => void;
  /** Called with a function that ends all processes at once. */
  readonly onStarted: (dispose: () => Promise<void>) => void;
}

/** Result of one play. */
export interface SoakResult {
  readonly violations: readonly Violation[];
  /** Counts of what callers and hosts saw. */
  readonly counts: Readonly<Record<string, number>>;
  /** Everything that hosts saw and callers know, for a failing run's folder. */
  readonly history: object;
}

const FOLLOW_INTERVAL_MS = 100;
const CHECK_INTERVAL_MS = 2_000;
const READY_POLL_MS = 100;
const LAG_CHECK_MS = 20;

/** By how much a planted failure of the recovery is found sooner. */
const PLANTED_HASTE = 12;

/** Plays a fault list against fresh entry hosts and checks the promises. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const {seed, faults, folder, entryCount, hostCount, progress} = options;
  const random = createRandom(seed);
  const plants = createPlants(options.planted);
  const disturbances = createDisturbances();
  let startedAt = performance.now();
  const verdict: Verdict = createVerdict(
    () => performance.now() - startedAt,
    ({check, subject, detail, atMs}) =>
      progress(`${atMs} ms: ${check}: ${subject}: ${detail}`),
  );
  const revival = createEntryRevival({
    plants,
    onUnready({label}, startedAt) {
      const fromMs = startedAt - BOUNDS.contactMs;
      if (ended || !disturbances.isCalm(fromMs, performance.now())) return;
      const detail = `not ready ${BOUNDS.recoveryMs} ms after its start`;
      verdict.report(Check.Starts, label, detail);
    },
  });
  let ended = false;
  let ownEnds = 0;
  let peakMb = 0;
  const site = await createSoakSite({
    random,
    folder,
    entryCount,
    hostCount,
    onOwnEnd: end => reviveEnded(end),
  });
  const {platform, entries, links} = site;
  const operator = createOperator(platform);
  operator.configure();
  const submissions = new Map<string, Submission>();
  const history = createRunHistory({
    ...{platform, submissions, operator, plants, disturbances, verdict},
  });
  let calls = 0;
  let unanswered = 0;
  let calmCalls = 0;
  const caller = createCaller({
    addresses: links[LinkKind.Callers].map(({address}) => address),
    getProcess: entry => entries[entry],
    isCalm: (fromMs, toMs) =>
      disturbances.isCalm(fromMs - BOUNDS.contactMs, toMs),
    onCall(answered) {
      if (answered.calm) calmCalls += 1;
      const record =
        !ended && answered.calm && plants.take(Check.PlannedStop)
          ? cutAnswer(answered)
          : answered;
      calls += 1;
      if (record.end !== CallEnd.Answered) unanswered += 1;
      if (!ended && isCutWithoutCause(record, disturbances)) {
        const lastedMs = Math.round(record.endedAt - record.sentAt);
        const subject = `entry ${record.entry + 1}, process ${record.incarnations[0]}`;
        verdict.report(Check.PlannedStop, subject, `cut after ${lastedMs} ms`);
      }
      return record;
    },
  });
  const shared = {
    ...{caller, entryCount, operator},
    ...{disturbances, verdict, plants, random},
  };
  const callers = createCallers({
    ...{...shared, submissions, history},
  });
  const services = createServices(caller, entryCount, submissions);
  const stops: (() => void)[] = [];

  function reviveEnded({index, label, detail, wasReady}: OwnEnd): void {
    if (ended) return;
    ownEnds += 1;
    const check = wasReady ? Check.Processes : Check.Starts;
    verdict.report(check, label, detail);
    void revival.revive(site.listEntries()[index], PAUSE_MS);
  }

  function every(intervalMs: number, effect: () => void): void {
    const timer = everyMs(effect, intervalMs);
    stops.push(() => clearInterval(timer));
  }

  async function dispose(): Promise<void> {
    ended = true;
    for (const stop of stops) stop();
    callers.dispose();
    services.dispose();
    history.dispose();
    caller.dispose();
    await site.dispose();
  }

  function watchOwnLag(): void {
    let lastAt = performance.now();
    every(LAG_CHECK_MS, () => {
      const now = performance.now();
      disturbances.addLag(Math.max(0, now - lastAt - LAG_CHECK_MS));
      lastAt = now;
    });
  }

  async function awaitEachReady(withinMs: number): Promise<readonly number[]> {
    const endsAt = performance.now() + withinMs;
    const missing = new Set(entries.keys());
    while (missing.size > 0 && performance.now() < endsAt) {
      for (const index of [...missing]) {
        const serves =
          (await entries[index].isReady()) && (await callers.submitAt(index));
        if (serves) missing.delete(index);
      }
      await delay(READY_POLL_MS);
    }
    return [...missing];
  }

  async function freezeUnasked(): Promise<void> {
    const entry = entries[entries.length - 1];
    entry.signal('SIGSTOP');
    await delay(BOUNDS.answerMs * 2);
    entry.signal('SIGCONT');
  }

  async function plantInRuns(): Promise<void> {
    if (plants.take(Check.Processes)) entries[0].killUnasked();
    if (plants.take(Check.Answers)) void freezeUnasked();
    if (plants.take(Check.ConfigurationTime)) operator.configure(true);
    if (plants.take(Check.Waves)) completeWaveEarly(platform, operator);
    if (!plants.take(Check.Runs)) return;
    while (!(await doubleRun(platform, submissions))) {
      await delay(FOLLOW_INTERVAL_MS);
    }
  }

  options.onStarted(dispose);
  for (const entry of entries) void revival.revive(entry, 0);
  const unready = await awaitEachReady(BOUNDS.recoveryMs);
  for (const index of unready) {
    verdict.report(Check.Recovery, `entry ${index + 1}`, 'is not ready');
  }
  progress(`ready after ${Math.round(performance.now() - startedAt)} ms`);
  startedAt = performance.now();
  callers.start();
  services.start();
  stops.push(startConfigurationProbe(shared));
  every(FOLLOW_INTERVAL_MS, () => history.follow());
  every(CHECK_INTERVAL_MS, () => history.checkAll());
  watchOwnLag();
  const endWatch = startProcessWatch({
    ...{disturbances, verdict, plants},
    listEntries: site.listEntries,
  });
  stops.push(() => (peakMb = endWatch()));
  const apply = createFaultApplier({
    ...{site, operator, submissions, revival, disturbances, verdict},
  });
  void plantInRuns();
  await Promise.all(
    faults.map(async fault => {
      await delay(fault.atMs);
      if (!ended) await apply(fault);
    }),
  );
  progress(
    `last fault over after ${Math.round(performance.now() - startedAt)} ms`,
  );
  const isRecoveryPlanted = plants.take(Check.Recovery);
  if (isRecoveryPlanted) entries[0].signal('SIGSTOP');
  const recoveryMs = isRecoveryPlanted
    ? BOUNDS.recoveryMs / PLANTED_HASTE
    : BOUNDS.recoveryMs;
  for (const index of await awaitEachReady(recoveryMs)) {
    const detail = `serves nothing ${recoveryMs} ms after the last fault`;
    verdict.report(Check.Recovery, `entry ${index + 1}`, detail);
  }
  if (isRecoveryPlanted) entries[0].signal('SIGCONT');
  progress(`all serve after ${Math.round(performance.now() - startedAt)} ms`);
  callers.stop();
  services.stop();
  const finishBy = performance.now() + BOUNDS.finishMs;
  while (callers.listUnfinished().length > 0 && performance.now() < finishBy) {
    await delay(READY_POLL_MS);
  }
  for (const {id} of callers.listUnfinished()) {
    const detail = `has not ended ${BOUNDS.finishMs} ms after the load`;
    verdict.report(Check.Recovery, id, detail);
  }
  history.follow();
  history.checkAll();
  const states = [...submissions.values()].map(each => each.finalState);
  const count = (state: string) => states.filter(s => s === state).length;
  const counts = {
    faults: faults.length,
    seconds: Math.round((performance.now() - startedAt) / 1_000),
    calls,
    unanswered,
    calmCalls,
    submissions: submissions.size,
    completed: count('completed'),
    failed: count('failed'),
    cancelled: count('cancelled'),
    refused: [...submissions.values()].filter(each => each.refused).length,
    starts: history.countStarts(),
    configurations: operator.version,
    waves: operator.waves.length,
    lagMs: Math.round(disturbances.getLagMs(startedAt, performance.now())),
    ownEnds,
    maxRetryAfterS: callers.getMaxRetryAfterMs() / 1_000,
    processes: site
      .listEntries()
      .reduce((sum, entry) => sum + entry.incarnation, 0),
  };
  await dispose();
  return {
    violations: verdict.violations,
    counts: {...counts, peakMb: Math.round(peakMb)},
    history: {
      startedAt,
      submissions: [...submissions.values()],
      events: platform.fleet.events,
    },
  };
}
