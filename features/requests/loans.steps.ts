import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {SlotSample, findOverlentSlots} from '../../src/history/slots';
import {Outcome} from '../../src/types';
import {
  MemoryEntry,
  MemorySite,
  configureSite,
  createMemorySite,
} from '../support/memory_site';
import {advance} from '../support/paused_clock';
import {findOverlentLedgers} from './ledger_histories';
import {BurstAnswer, findFalseNotRun, runBurst} from './support';

const SETTLE_MS = 4_000;
const BURST_MS = 10_000;
const FAULT_AFTER_MS = 1_000;

let site: MemorySite;
let samples: SlotSample[] = [];
let answers: readonly BurstAnswer[] = [];
let crashed: MemoryEntry | undefined;
let overlentSeeds: readonly number[] = [];
/** Terms of all loans seen. */
const terms = new Set<number>();
/** Moments at which an entry host had no loan. */
let without = 0;

After(() => site?.dispose());

Given(
  '{int} entry hosts that lend each other the slots of a site',
  async (entries: number) => {
    samples = [];
    answers = [];
    terms.clear();
    without = 0;
    crashed = undefined;
    site = createMemorySite({entries});
    await configureSite(site);
    await advance(SETTLE_MS);
  },
);

When('{string} is in a burst and its leader crashes', async (pool: string) => {
  await runFaulty(pool, () => {
    crashed = leaderOf(pool);
    crashed.crash();
  });
});

When(
  '{string} is in a burst and answers from its leader are lost to one entry host',
  async (pool: string) => {
    await runFaulty(pool, () => {
      const leader = leaderOf(pool);
      const other = site.entries.find(entry => entry !== leader);
      if (!other) throw new Error('there is one entry host only');
      site.network.setBlocked(leader.member.id, other.member.id, true);
    });
  },
);

When(
  '{string} is in a burst while no entry host reaches the store',
  async (pool: string) => {
    await runFaulty(pool, () => {
      for (const entry of site.entries) entry.storeFaults.down = true;
    });
  },
);

When(
  '{string} is in a burst and only its leader loses the store',
  async (pool: string) => {
    await runFaulty(pool, () => {
      leaderOf(pool).storeFaults.down = true;
    });
  },
);

/** Runs an uneven burst and causes a fault a second after its start. */
async function runFaulty(pool: string, cause: () => void): Promise<void> {
  const startedAt = performance.now();
  let caused = false;
  answers = await runBurst(
    site,
    {
      service: pool,
      perSecond: 200,
      forMs: BURST_MS,
      workMs: 200,
      deadlineMs: 1_000,
      chooseEntry: n => chooseLive(n),
    },
    () => {
      const passed = performance.now() - startedAt;
      if (!caused && passed >= FAULT_AFTER_MS) {
        caused = true;
        cause();
      }
      sampleLoans(pool);
    },
  );
}

function chooseLive(n: number): number {
  const live = site.entries.filter(entry => entry !== crashed);
  return site.entries.indexOf(live[(n * n) % live.length]);
}

function leaderOf(pool: string): MemoryEntry {
  const leader = site.entries.find(({core}) =>
    core.leadership.led.get().has(pool),
  );
  if (!leader) throw new Error(`${pool} has no leader`);
  return leader;
}

function sampleLoans(pool: string): void {
  const at = performance.now();
  for (const entry of site.entries) {
    if (entry === crashed) continue;
    const loans = entry.core.getLoans(pool);
    if (!loans) without += 1;
    for (const {hostId, slots, term} of loans ?? []) {
      const {id: memberId} = entry.member;
      samples.push({at, memberId, hostId, slots, lent: true});
      terms.add(term);
    }
  }
}

Then('loans never overlapped on a worker', () => {
  assert.ok(samples.length > 0);
  const slotsOf = (id: string) => site.hosts.get(id)?.slots ?? 0;
  assert.deepEqual(findOverlentSlots(samples, slotsOf), []);
});

Then('a later leader has lent slots of {string}', (pool: string) => {
  assert.ok(terms.size > 1, `${pool} was lent under one term`);
});

Then('every entry host has a loan of {string} throughout', (pool: string) => {
  assert.equal(without, 0, `an entry host had no loan of ${pool}`);
});

Then('every request of the burst was told its outcome exactly', () => {
  assert.deepEqual(findFalseNotRun(site, answers), []);
  const unknown = answers.filter(
    ({result}) => result.isErr && result.error.outcome !== Outcome.NotRun,
  );
  assert.deepEqual(unknown, []);
});

When(
  '{int} random histories of reports, losses and reservations reach a ledger',
  {timeout: 20_000},
  async (histories: number) => {
    overlentSeeds = await findOverlentLedgers(histories);
  },
);

Then('no ledger ever lent more than its slots', () => {
  assert.deepEqual(overlentSeeds, []);
});

When("a history has two loans that exceed a worker's slots together", () => {
  const sample = {at: 5, hostId: 'worker-1', lent: true};
  samples = [
    {...sample, memberId: 'entry-1', slots: 5},
    {...sample, memberId: 'entry-2', slots: 4},
    {...sample, memberId: 'entry-2', slots: 9, at: 6, lent: false},
  ];
});

Then('the check of loans reports that worker', () => {
  const found = findOverlentSlots(samples, () => 8);
  assert.deepEqual(found, [{at: 5, hostId: 'worker-1', lent: 9, slots: 8}]);
});
