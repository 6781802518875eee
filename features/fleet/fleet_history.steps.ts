import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  HistoryEvent,
  HistoryEventKind,
  HistoryFault,
  checkFleetHistory,
} from '../../src/history/fleet';
import {createProfiles} from '../../src/stand_ins/site';
import {
  HostAssignment,
  HostState,
  PoolRecord,
  Unavailability,
} from '../../src/types';

const SITE = {
  name: 'planted',
  availabilityZones: ['zone-a'],
  pools: [
    {name: 'desk', workers: 4, spare: false},
    {name: 'spare', workers: 4, spare: true},
  ],
};

let events: HistoryEvent[];
let at = 0;

Given('a sound fleet history of a drain, a reboot and a move', () => {
  events = [];
  at = 1_000;
  write('config/current', {revision: 1, profiles: createProfiles(SITE)});
  for (const id of ['h1', 'h2', 'h3', 'h4']) assign(id, {});
  record(1, []);
  record(1, [unavailable('h1', HostState.Draining)]);
  const rebooting = {...unavailable('h1', HostState.Rebooting), rebootAt: at};
  record(1, [rebooting]);
  reboot('h1');
  assign('h1', {lastMaintainedAt: at});
  record(1, []);
  record(2, []);
  const moving = {...unavailable('h2', HostState.Moving), movesTo: 'spare'};
  record(2, [moving]);
  assign('h2', {pool: 'spare'});
  record(2, []);
  assert.deepEqual(checkFleetHistory(events), []);
});

When('a {string} is injected into the fleet history', (fault: HistoryFault) =>
  FAULT_INJECTIONS[fault](),
);

Then(
  'the fleet history checker reports only {string}',
  (fault: HistoryFault) => {
    const found = checkFleetHistory(events).map(finding => finding.fault);
    assert.deepEqual([...new Set(found)], [fault]);
  },
);

const FAULT_INJECTIONS: Readonly<Record<HistoryFault, () => void>> = {
  [HistoryFault.BudgetExceeded]: () =>
    record(
      2,
      ['h1', 'h3', 'h4'].map(id => unavailable(id, HostState.Draining)),
    ),
  [HistoryFault.UnknownBudget]: () =>
    record(2, [unavailable('h1', HostState.Draining)], 3),
  [HistoryFault.TwoPools]: () =>
    record(2, [unavailable('h2', HostState.Draining)]),
  [HistoryFault.UnannouncedMove]: () => assign('h3', {pool: 'spare'}),
  [HistoryFault.TermNotIncreased]: () => record(1, []),
  [HistoryFault.IllegalTransition]: () =>
    record(2, [unavailable('h1', HostState.Rebooting)]),
  [HistoryFault.UnplannedReboot]: () => reboot('h4'),
};

function write(key: string, value: object): void {
  at += 1_000;
  const text = JSON.stringify(value);
  events.push({kind: HistoryEventKind.Write, at, key, value: text});
}

function assign(hostId: string, fields: Partial<HostAssignment>): void {
  const assignment: HostAssignment = {
    hostId,
    pool: 'desk',
    lastMaintainedAt: 0,
    completedWaves: [],
    ...fields,
  };
  write(`hosts/${hostId}`, assignment);
}

function record(
  term: number,
  entries: readonly Unavailability[],
  budget = 2,
): void {
  const value: PoolRecord = {
    pool: 'desk',
    term,
    leader: `entry-${term}`,
    unavailable: entries,
    budget,
  };
  write('pools/desk', value);
}

function reboot(hostId: string): void {
  events.push({kind: HistoryEventKind.Reboot, at, hostId});
}

function unavailable(
  hostId: string,
  state: Unavailability['state'],
): Unavailability {
  return {hostId, state, since: at, cause: 'planted'};
}
