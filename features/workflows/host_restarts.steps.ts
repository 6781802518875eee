import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {FleetEventKind} from '../../src/stand_ins/fleet';
import {advance, advanceUntil, seedRandom} from '../support/paused_clock';
import {IncarnationReport, playIncarnations} from './incarnation_histories';
import {findBusiestMachine, getWorld} from './running.steps';
import {createSpec} from './workflow_world';

let reports: IncarnationReport[] = [];

let restarted = '';

/** Time in ms that covers a call and its answer. */
const LOST_ANSWER_MS = 10;

enum Birth {
  Its = 'its',
  TheSame = 'the same',
  No = 'no',
}

async function restart(pauseMs: number, birth = Birth.Its): Promise<void> {
  const machine = findBusiestMachine();
  const {fleet} = getWorld();
  const births = new Map([
    [Birth.TheSame, fleet.getHost(machine)?.host.bornAt],
    [Birth.No, 0],
  ]);
  restarted = machine;
  fleet.crash(machine, false);
  await advance(pauseMs);
  fleet.restart(machine, false, births.get(birth));
}

When(
  'the host with the most runs crashes and is back under its id after {int} ms',
  (pauseMs: number) => restart(pauseMs),
);

When(
  /^the host with the most runs crashes and is back after (\d+) ms with (the same|no) birth$/,
  (pauseMs: string, birth: Birth) => restart(Number(pauseMs), birth),
);

When(
  'it crashes just before the next start, no longer answers and is back after {int} ms',
  async (pauseMs: number) => {
    const {fleet, members} = getWorld();
    const isDown = () => fleet.getHost(restarted) === undefined;
    for (const {callFaults} of members) {
      callFaults.onCall = call => {
        if (call === 'start' && !isDown()) fleet.crash(restarted, true);
      };
    }
    await advanceUntil(isDown, 5_000, 1);
    for (const {callFaults} of members) callFaults.onCall = () => {};
    await advance(pauseMs);
    fleet.restart(restarted);
  },
);

When(
  /^the host restarts at once, with an earlier birth, just before the first start after its next end, whose answer (arrives|is lost)$/,
  (outcome: string) => {
    const {fleet, members} = getWorld();
    const machine = findBusiestMachine();
    const bornAt = fleet.getHost(machine)?.host.bornAt ?? 0;
    const countEnds = () =>
      fleet.events.filter(({kind}) => kind === FleetEventKind.End).length;
    const earlierEnds = countEnds();
    for (const {callFaults} of members) {
      callFaults.onCall = call => {
        if (call !== 'start' || countEnds() === earlierEnds) return;
        for (const each of members) each.callFaults.onCall = () => {};
        fleet.crash(machine, false);
        fleet.restart(machine, false, bornAt - 1);
        if (outcome === 'is lost') loseNextAnswer();
      };
    }
  },
);

function loseNextAnswer(): void {
  const {faults} = getWorld().fleet;
  faults.lostAnswers = 1;
  setTimeout(() => {
    faults.lostAnswers = 0;
  }, LOST_ANSWER_MS);
}

When('late orders reach a host that has restarted meanwhile', () => {
  getWorld().fleet.faults.ordersOutliveHosts = true;
});

When(
  'every host crashes and is back at another address after {int} ms',
  async (pauseMs: number) => {
    const {fleet} = getWorld();
    for (const machine of fleet.machines.keys()) fleet.crash(machine, false);
    await advance(pauseMs);
    for (const machine of fleet.machines.keys()) fleet.restart(machine, true);
  },
);

When(
  'a task is cancelled whose first start order is still to be carried out, and its host restarts before that',
  async () => {
    const {fleet, members, submit, cancel} = getWorld();
    const [machine] = fleet.machines.keys();
    const isRunning = () => fleet.getHost(machine)?.listRuns().length === 1;
    fleet.faults.ordersOutliveHosts = true;
    fleet.faults.delayedOrders = {share: 1, afterMs: 1_500};
    const orderedAt = performance.now();
    const {id} = await submit(members[0], {spec: createSpec({workMs: 60_000})});
    await advance(500);
    fleet.faults.delayedOrders = {share: 0, afterMs: 0};
    assert.ok(await advanceUntil(isRunning, 3_000));
    await advance(orderedAt + 1_380 - performance.now());
    void cancel(members[0], id);
    await advance(60);
    fleet.crash(machine, false);
    fleet.restart(machine);
  },
);

Then('nothing runs on the host', () => {
  const {fleet} = getWorld();
  const [machine] = fleet.machines.keys();
  assert.deepEqual(fleet.getHost(machine)?.listRuns(), []);
});

When('the host that has restarted stops answering but keeps running', () => {
  const {fleet} = getWorld();
  const host = fleet.getHost(restarted);
  assert.ok(host && host.listRuns().length > 0);
  fleet.faults.silent.add(host.host.id);
});

When(
  /^(\d+) random histories of (\d+) restarts and other faults are played for each of the seeds ([\d, ]+)$/,
  {timeout: 60_000},
  async (count: string, length: string, seeds: string) => {
    reports = [];
    for (const seed of seeds.split(', ').map(Number)) {
      seedRandom(seed);
      const report = await playIncarnations(
        Number(count),
        Number(length),
        seed,
      );
      reports.push(report);
    }
  },
);

Then('they have restarts, takeovers and outages', () => {
  for (const {restarts, takeovers, outages, starts} of reports) {
    assert.ok(restarts > 50 && takeovers > 3 && outages > 3 && starts > 300);
  }
});

Then('no end was ignored and no accepted workflow is left unfinished', () =>
  assert.deepEqual(
    reports.flatMap(({findings}) => findings),
    [],
  ),
);
