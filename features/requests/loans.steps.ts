import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {SlotSample, findOverallocatedSlots} from '../../src/history/slots';
import {Outcome} from '../../src/types';
import {
  MemoryEntryHost,
  MemorySite,
  configureSite,
  createMemorySite,
} from '../support/memory_site';
import {advance} from '../support/paused_clock';
import {findOvercommittedSeeds} from './ledger_histories';
import {BurstAnswer, findFalseNotRun, runBurst} from './request_bursts';

const SETTLE_MS = 4_000;
const BURST_MS = 10_000;
const FAULT_AFTER_MS = 1_000;

let site: MemorySite;
let samples: SlotSample[] = [];
let answers: readonly BurstAnswer[] = [];
let crashed: MemoryEntryHost | undefined;
let overcommittedSeeds: readonly number[] = [];
/** Terms of the sampled loans. */
const terms = new Set<number>();
/** Number of samples in which an entry host had no loan. */
let samplesWithoutLoan = 0;

After(() => site?.dispose());

Given(
  '{int} entry hosts that lend the slots of a site to each other',
  async (entries: number) => {
    samples = [];
    answers = [];
    terms.clear();
    samplesWithoutLoan = 0;
    crashed = undefined;
    site = createMemorySite({entries});
    await configureSite(site);
    await advance(SETTLE_MS);
  },
);

When('the leader of {string} crashes during a burst', async (pool: string) => {
  await runBurstWithFault(pool, () => {
    crashed = findLeader(pool);
    crashed.crash();
  });
});

When(
  'answers of the leader of {string} to one entry host are lost during a burst',
  async (pool: string) => {
    await runBurstWithFault(pool, () => {
      const leader = findLeader(pool);
      const other = site.entries.find(entry => entry !== leader);
      if (!other) throw new Error('the site has only one entry host');
      site.network.setBlocked(leader.member.id, other.member.id, true);
    });
  },
);

When(
  'no entry host can reach the store during a burst of {string}',
  async (pool: string) => {
    await runBurstWithFault(pool, () => {
      for (const entry of site.entries) entry.storeFaults.down = true;
    });
  },
);

When(
  'only the leader of {string} cannot reach the store during a burst',
  async (pool: string) => {
    await runBurstWithFault(pool, () => {
      findLeader(pool).storeFaults.down = true;
    });
  },
);

/**
 * Runs an uneven burst and injects a fault {@link FAULT_AFTER_MS} after its
 * start.
 */
async function runBurstWithFault(
  pool: string,
  injectFault: () => void,
): Promise<void> {
  const startedAt = performance.now();
  let injected = false;
  answers = await runBurst(
    site,
    {
      service: pool,
      requestsPerSecond: 200,
      durationMs: BURST_MS,
      workMs: 200,
      deadlineMs: 1_000,
      chooseEntry: n => chooseRunningEntry(n),
    },
    () => {
      const passed = performance.now() - startedAt;
      if (!injected && passed >= FAULT_AFTER_MS) {
        injected = true;
        injectFault();
      }
      sampleLoans(pool);
    },
  );
}

function chooseRunningEntry(n: number): number {
  const running = site.entries.filter(entry => entry !== crashed);
  return site.entries.indexOf(running[(n * n) % running.length]);
}

function findLeader(pool: string): MemoryEntryHost {
  const leader = site.entries.find(({core}) =>
    core.leadership.ledPools.get().has(pool),
  );
  if (!leader) throw new Error(`pool ${pool} has no leader`);
  return leader;
}

function sampleLoans(pool: string): void {
  const at = performance.now();
  for (const entry of site.entries) {
    if (entry === crashed) continue;
    const loans = entry.core.getLoans(pool);
    if (!loans) samplesWithoutLoan += 1;
    for (const {hostId, slots, term} of loans ?? []) {
      const {id: memberId} = entry.member;
      samples.push({at, memberId, hostId, slots, lent: true});
      terms.add(term);
    }
  }
}

Then('the loans of a worker never exceeded its slots', () => {
  assert.ok(samples.length > 0);
  const slotsOf = (id: string) => site.hosts.get(id)?.slots ?? 0;
  assert.deepEqual(findOverallocatedSlots(samples, slotsOf), []);
});

Then('a later leader lent slots of {string}', (pool: string) => {
  assert.ok(
    terms.size > 1,
    `slots of ${pool} were lent under a single term only`,
  );
});

Then('every entry host had a loan of {string} at all times', (pool: string) => {
  assert.equal(
    samplesWithoutLoan,
    0,
    `an entry host had no loan of ${pool} at some time`,
  );
});

Then(
  'the outcome of every request of the burst was known and reported correctly',
  () => {
    assert.deepEqual(findFalseNotRun(site, answers), []);
    const unknown = answers.filter(
      ({result}) => result.isErr && result.error.outcome !== Outcome.NotRun,
    );
    assert.deepEqual(unknown, []);
  },
);

When(
  '{int} random histories of reports, message losses and reservations are applied to a ledger',
  {timeout: 20_000},
  async (histories: number) => {
    overcommittedSeeds = await findOvercommittedSeeds(histories);
  },
);

Then('no ledger lent more slots than its workers have', () => {
  assert.deepEqual(overcommittedSeeds, []);
});

When(
  'a history contains two loans that together exceed the slots of a worker',
  () => {
    const sample = {at: 5, hostId: 'worker-1', lent: true};
    samples = [
      {...sample, memberId: 'entry-1', slots: 5},
      {...sample, memberId: 'entry-2', slots: 4},
      {...sample, memberId: 'entry-2', slots: 9, at: 6, lent: false},
    ];
  },
);

Then('the loan checker reports that worker', () => {
  const found = findOverallocatedSlots(samples, () => 8);
  assert.deepEqual(found, [{at: 5, hostId: 'worker-1', lent: 9, slots: 8}]);
});
