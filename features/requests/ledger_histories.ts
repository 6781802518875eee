import prand from 'pure-rand';
import {LOAN_MS, createPoolSlots} from '../../src/actors/slots';
import {HostState, PoolHost} from '../../src/types';
import {advance} from '../support/paused_clock';

const STEPS = 40;
const BORROWERS = 3;
const SLOTS = 8;
const HOST_IDS: readonly string[] = ['worker-1', 'worker-2'];
const MAX_STEP_MS = 400;

/**
 * Model of a borrower that follows the protocol while some of its messages are
 * lost.
 */
interface Borrower {
  /** Sequence number of the last report. */
  sequence: number;
  /** Monotonic time at which the held loan expires, in ms. */
  expiresAt: number;
  /** Slots held by host id. */
  held: Map<string, number>;
}

/**
 * Returns the seeds whose random history made a ledger lend more slots than its
 * workers have.
 */
export async function findOvercommittedSeeds(
  histories: number,
): Promise<readonly number[]> {
  const failed: number[] = [];
  for (let seed = 1; seed <= histories; seed += 1) {
    if (!(await staysWithinSlots(seed))) failed.push(seed);
  }
  return failed;
}

async function staysWithinSlots(seed: number): Promise<boolean> {
  const generator = prand.xoroshiro128plus(seed);
  const randomBelow = (limit: number) =>
    prand.unsafeUniformIntDistribution(0, limit - 1, generator);
  const slots = createPoolSlots(() => HOST_IDS.map(createHost), {
    pool: 'pool',
    term: 1,
    getMemberIds: () => [],
  });
  const borrowers: Borrower[] = Array.from({length: BORROWERS}, () => ({
    sequence: 0,
    expiresAt: 0,
    held: new Map(),
  }));
  const reservations = new Map<string, {hostId: string; slots: number}>();
  let withinSlots = true;

  for (let step = 0; step < STEPS; step += 1) {
    await advance(randomBelow(MAX_STEP_MS));
    if (randomBelow(4) === 0) reserve(step);
    else report(randomBelow(BORROWERS));
    withinSlots &&= HOST_IDS.every(id => sumSlots(id) <= SLOTS);
  }
  slots.dispose();
  return withinSlots;

  function reserve(step: number): void {
    const hostId = HOST_IDS[randomBelow(HOST_IDS.length)];
    const size = 1 + randomBelow(4);
    const jobId = `job-${step}`;
    if (slots.reserve(jobId, hostId, size)) {
      reservations.set(jobId, {hostId, slots: size});
    }
    const [first] = reservations.keys();
    if (first !== undefined && randomBelow(2) === 0) {
      slots.release(first);
      reservations.delete(first);
    }
  }

  function report(index: number): void {
    const borrower = borrowers[index];
    const sentAt = performance.now();
    const demand = randomBelow(20);
    if (sentAt >= borrower.expiresAt) borrower.held = new Map();
    borrower.sequence += 1;
    if (randomBelow(5) === 0) return;
    const loan = slots.lend(
      {
        memberId: `entry-${index}`,
        session: `s${index}`,
        sequence: borrower.sequence,
      },
      {
        pool: 'pool',
        demand,
        need: demand / 2,
        hosts: [...borrower.held].map(([hostId, held]) => ({
          hostId,
          held,
          used: randomBelow(held + 1),
        })),
      },
    );
    if (!loan || randomBelow(4) === 0) return;
    borrower.held = new Map(loan.hosts.map(h => [h.hostId, h.slots]));
    borrower.expiresAt = sentAt + LOAN_MS;
  }

  function sumSlots(hostId: string): number {
    const now = performance.now();
    let sum = 0;
    for (const borrower of borrowers) {
      if (now < borrower.expiresAt) sum += borrower.held.get(hostId) ?? 0;
    }
    for (const known of reservations.values()) {
      if (known.hostId === hostId) sum += known.slots;
    }
    return sum;
  }
}

function createHost(id: string): PoolHost {
  const host = {
    id,
    address: '127.0.0.1',
    port: 0,
    rack: 'rack-1',
    availabilityZone: 'zone-a',
    processors: 16,
    memoryMb: 32_768,
    accelerators: 0,
    slots: SLOTS,
    connections: 64,
    initialPool: 'pool',
    leaving: false,
  };
  return {host, state: HostState.Active};
}
