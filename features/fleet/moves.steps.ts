import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {PoolCapacity, chooseMove} from '../../src/decisions/fleet';
import {createHost, createProfiles} from '../../src/stand_ins/site';
import {HostAssignment, HostState} from '../../src/types';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const NOW = Date.UTC(2026, 0, 5);
const SITE = {
  name: 'moves',
  availabilityZones: ['zone-a'],
  pools: [
    {name: 'desk', workers: 8, spare: false},
    {name: 'spare', workers: 8, spare: true},
  ],
};

let pools: PoolCapacity[];

Given(
  'a desk pool of {int} hosts and a spare pool of {int} hosts, each with a target size of 8',
  (desk: number, spare: number) => {
    pools = createProfiles(SITE).map(profile => ({
      profile,
      record: {pool: profile.pool, term: 1, leader: 'entry', unavailable: []},
      assignments: listAssignments(profile.pool, profile.spare ? spare : desk),
    }));
  },
);

function listAssignments(pool: string, count: number): HostAssignment[] {
  return Array.from({length: count}, (_, i) => ({
    hostId: `${pool}-${i + 1}`,
    pool,
    lastMaintainedAt: 0,
    completedWaves: [],
  }));
}

Given(
  '{int} desk hosts have been lost for {int} minutes',
  (lost: number, minutes: number) => {
    const unavailable = pools[0].assignments.slice(0, lost).map(a => ({
      hostId: a.hostId,
      state: HostState.Failed as const,
      since: NOW - minutes * MINUTE_MS,
      cause: 'lost',
    }));
    pools[0] = {...pools[0], record: {...pools[0].record, unavailable}};
  },
);

Given(
  'the last move into the desk pool was {int} hours ago',
  (hours: number) => {
    const assignments = [...pools[0].assignments];
    const movedAt = NOW - hours * HOUR_MS;
    const last = assignments[assignments.length - 1];
    assignments[assignments.length - 1] = {
      ...last,
      movedAt,
      movedFrom: 'spare',
    };
    pools[0] = {...pools[0], assignments};
  },
);

Then(
  "the desk pool's leader moves {int} host and the spare pool's leader {int}",
  (deskMoves: number, spareMoves: number) => {
    assert.equal(countMoves(0), deskMoves);
    assert.equal(countMoves(1), spareMoves);
  },
);

function countMoves(index: number): number {
  const donor = pools[index];
  const hosts = new Map(
    donor.assignments.map(({hostId}) => {
      const pool = SITE.pools[index];
      return [hostId, {...createHost(SITE, pool, 0, '', 0), id: hostId}];
    }),
  );
  const move = chooseMove({
    now: NOW,
    donor,
    others: [pools[1 - index]],
    configuredAt: 0,
    hosts,
  });
  return move ? 1 : 0;
}
