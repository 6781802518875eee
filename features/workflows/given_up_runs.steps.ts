import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {FleetEventKind} from '../../src/stand_ins/fleet';
import {seedRandom} from '../support/paused_clock';
import {GivenUpReport, playGivenUp} from './given_up_histories';
import {getWorld} from './running.steps';
import {POOL} from './workflow_world';

let reports: GivenUpReport[] = [];

/** Time in ms in which a call and its answer arrive. */
const CALL_MS = 3;
/** Time in ms after which a late order is carried out. */
const LATE_MS = 2_000;

When(
  /^the next start reaches a host that has just restarted and falls silent for (\d+) s, and its answer (arrives|is lost|is lost as it is carried out 2 s late)$/,
  (seconds: string, outcome: string) => {
    const {fleet, members} = getWorld();
    const [machine] = fleet.machines.keys();
    const onStart = () => {
      fleet.crash(machine, false);
      fleet.restart(machine);
      if (outcome === 'is lost') fleet.faults.lostAnswers = 1;
      if (outcome.endsWith('late')) {
        fleet.faults.delayedOrders = {share: 1, afterMs: LATE_MS};
      }
      setTimeout(() => {
        fleet.faults.lostAnswers = 0;
        fleet.faults.delayedOrders = {share: 0, afterMs: 0};
        fleet.faults.silent.add(fleet.getHost(machine)?.host.id ?? '');
      }, CALL_MS);
      setTimeout(() => fleet.faults.silent.clear(), Number(seconds) * 1_000);
    };
    for (const {callFaults} of members) {
      callFaults.onCall = call => {
        if (call !== 'start') return;
        for (const each of members) each.callFaults.onCall = () => {};
        onStart();
      };
    }
  },
);

When(
  'the leader stops right after the next start, which reaches a host that has just restarted',
  () => {
    const {fleet, members} = getWorld();
    const [machine] = fleet.machines.keys();
    for (const member of members) {
      member.callFaults.onCall = call => {
        if (call !== 'start') return;
        for (const each of members) each.callFaults.onCall = () => {};
        fleet.crash(machine, false);
        fleet.restart(machine);
        setTimeout(() => void member.entry.dispose(), CALL_MS);
      };
    }
  },
);

When('the host falls silent for {int} s', (seconds: number) => {
  const {fleet} = getWorld();
  const [machine] = fleet.machines.keys();
  fleet.faults.silent.add(fleet.getHost(machine)?.host.id ?? '');
  setTimeout(() => fleet.faults.silent.clear(), seconds * 1_000);
});

When(
  'the next start goes to the earlier address of a host that has just moved, where another one refuses it after {int} ms',
  (ms: number) => {
    const {fleet, members} = getWorld();
    const [machine] = fleet.machines.keys();
    fleet.faults.reusesAddresses = true;
    let hasMoved = false;
    for (const {callFaults} of members) {
      callFaults.onCall = call => {
        const isRefused = call === 'start' && !hasReported();
        callFaults.answerDelayMs = isRefused ? ms : 0;
        if (!isRefused || hasMoved) return;
        hasMoved = true;
        fleet.crash(machine, false);
        fleet.restart(machine, true);
      };
    }

    function hasReported(): boolean {
      const kinds = fleet.events.map(({kind}) => kind);
      const boot = kinds.lastIndexOf(FleetEventKind.Boot);
      return hasMoved && kinds.includes(FleetEventKind.Acknowledged, boot);
    }
  },
);

When('another host starts', () => void getWorld().fleet.addMachine(POOL));

When(
  /^(\d+) random histories of (\d+) losses and outages are played for each of the seeds ([\d, ]+)$/,
  {timeout: 60_000},
  async (count: string, length: string, seeds: string) => {
    reports = [];
    for (const seed of seeds.split(', ').map(Number)) {
      seedRandom(seed);
      reports.push(await playGivenUp(Number(count), Number(length), seed));
    }
  },
);

Then('they have restarts, lapses and takeovers', () => {
  const sum = (read: (report: GivenUpReport) => number | undefined) =>
    reports.reduce((total, report) => total + (read(report) ?? 0), 0);
  assert.ok(sum(({events}) => events[FleetEventKind.Boot]) > 40);
  assert.ok(sum(({events}) => events[FleetEventKind.Lapse]) > 0);
  assert.ok(sum(({actions}) => actions['kill-leader']) > 0);
  assert.ok(sum(({actions}) => actions['outages']) > 0);
});

Then(
  'no run was given up while it may execute, and each acknowledged end was stored',
  () =>
    assert.deepEqual(
      reports.flatMap(({findings}) => findings),
      [],
    ),
);
