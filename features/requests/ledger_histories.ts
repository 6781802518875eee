import prand from 'pure-rand';
import {LOAN_MS, createPoolSlots} from '../../src/actors/slots';
import {HostState, PoolHost} from '../../src/types';
import {advance} from '../support/paused_clock';

const STEPS = 40;
const BORROWERS = 3;
const SLOTS = 8;
const HOST_IDS: readonly string[] = ['worker-1', 'worker-2'];
const MAX_PAUSE_MS = 400;

/** A borrower that keeps to the protocol while its messages are lost. */
interface Model {
  sequence: number;
  endsAt: number;
  held: Map<string, number>;
}

/** Returns the seeds whose history made a ledger lend more than its slots. */
export async function findOverlentLedgers(
  histories: number,
): Promise<readonly number[]> {
  const failed: number[] = [];
  for (let seed = 1; seed <= histories; seed += 1) {
    if (!(await keepsWithinSlots(seed))) failed.push(seed);
  }
  return failed;
}

async function keepsWithinSlots(seed: number): Promise<boolean> {
  const generator = prand.xoroshiro128plus(seed);
  const below = (limit: number) =>
    prand.unsafeUniformIntDistribution(0, limit - 1, generator);
  const slots = createPoolSlots(() => HOST_IDS.map(createHost), {
    pool: 'pool',
    term: 1,
    getMemberIds: () => [],
  });
  const models: Model[] = Array.from({length: BORROWERS}, () => ({
    sequence: 0,
    endsAt: 0,
    held: new Map(),
  }));
  const reserved = new Map<string, {hostId: string; slots: number}>();
  let within = true;

  for (let step = 0; step < STEPS; step += 1) {
    await advance(below(MAX_PAUSE_MS));
    if (below(4) === 0) reserve(step);
    else report(below(BORROWERS));
    within &&= HOST_IDS.every(id => sumOf(id) <= SLOTS);
  }
  slots.dispose();
  return within;

  function reserve(step: number): void {
    const hostId = HOST_IDS[below(HOST_IDS.length)];
    const size = 1 + below(4);
    const jobId = `job-${step}`;
    if (slots.reserve(jobId, hostId, size)) {
      reserved.set(jobId, {hostId, slots: size});
    }
    const [first] = reserved.keys();
    if (first !== undefined && below(2) === 0) {
      slots.release(first);
      reserved.delete(first);
    }
  }

  function report(index: number): void {
    const model = models[index];
    const askedAt = performance.now();
    const demand = below(20);
    if (askedAt >= model.endsAt) model.held = new Map();
    model.sequence += 1;
    if (below(5) === 0) return;
    const loan = slots.lend(
      {
        memberId: `entry-${index}`,
        session: `s${index}`,
        sequence: model.sequence,
      },
      {
        pool: 'pool',
        demand,
        need: demand / 2,
        hosts: [...model.held].map(([hostId, held]) => ({
          hostId,
          held,
          used: below(held + 1),
        })),
      },
    );
    if (!loan || below(4) === 0) return;
    model.held = new Map(loan.hosts.map(h => [h.hostId, h.slots]));
    model.endsAt = askedAt + LOAN_MS;
  }

  function sumOf(hostId: string): number {
    const now = performance.now();
    let sum = 0;
    for (const model of models) {
      if (now < model.endsAt) sum += model.held.get(hostId) ?? 0;
    }
    for (const known of reserved.values()) {
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
