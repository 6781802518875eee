import {start, stop} from 'nact';
import {Claims, createClaims} from '../../src/actors/claims';
import {ClaimVerdict, identifyRequest} from '../../src/decisions/claims';
import {
  createKeyValue,
  createMemoryStore,
  createStoreFaults,
} from '../../src/stand_ins/platform';
import {createMemoryNetwork} from '../../src/stand_ins/peers';
import {delay} from '../../src/state';
import {LogLevel, createTelemetry} from '../../src/telemetry';
import {Member, Outcome} from '../../src/types';
import {ScaleProbe, Slope} from './slope';

const CLAIM_RATES = [25, 50, 100, 200, 400, 800];
const RETAINED_CLAIMS = [5_000, 10_000, 20_000, 40_000];
const DURATION_S = 4;
const QUICK_DURATION_S = 2;
const STORE_DELAY_MS = 3;
const SUBMIT_INTERVAL_MS = 10;
const CLAIM_TIMEOUT_MS = 5_000;
const BATCH_SIZE = 500;
const BYTES_PER_MB = 1_048_576;

/**
 * Claims of one entry host that owns every partition, over an in-memory store.
 */
interface ClaimsFixture {
  readonly claims: Claims;
  /** Returns the number of store writes to claims since the start. */
  countWrites(): number;
  /**
   * Claims a new key and reports its request as run; resolves to the time until
   * the claim was granted, in ms.
   */
  claim(index: number): Promise<number>;
  dispose(): void;
}

/** Mean costs of claims at one claim rate. */
interface ClaimCosts {
  readonly writesPerSecond: number;
  readonly cpuMsPerClaim: number;
  readonly meanClaimMs: number;
}

/**
 * Measures the cost of claims by claim rate and by number of retained claims.
 */
export const probeClaims: ScaleProbe = async quick => {
  const points: {x: number; costs: ClaimCosts}[] = [];
  for (const x of CLAIM_RATES) {
    const seconds = quick ? QUICK_DURATION_S : DURATION_S;
    points.push({x, costs: await measureRate(x, seconds)});
  }
  const createRateSlope = (
    cost: string,
    read: (costs: ClaimCosts) => number,
  ): Slope => ({
    role: 'owner of all claim partitions',
    axis: 'claims per second',
    cost,
    points: points.map(({x, costs}) => ({x, y: read(costs)})),
  });
  return [
    createRateSlope('store writes per second', costs => costs.writesPerSecond),
    createRateSlope('cpu ms per claim', costs => costs.cpuMsPerClaim),
    createRateSlope('ms to a claim, mean', costs => costs.meanClaimMs),
    await measureRetainedClaims(),
  ];
};

async function measureRate(rate: number, seconds: number): Promise<ClaimCosts> {
  const fixture = createClaimsFixture();
  await fixture.claim(-1);
  const writesBefore = fixture.countWrites();
  const cpuBefore = process.cpuUsage();
  const startedAt = performance.now();
  const claims: Promise<number>[] = [];
  while (performance.now() - startedAt < seconds * 1_000) {
    const dueCount = ((performance.now() - startedAt) / 1_000) * rate;
    while (claims.length < dueCount) claims.push(fixture.claim(claims.length));
    await delay(SUBMIT_INTERVAL_MS);
  }
  const times = await Promise.all(claims);
  await fixture.claims.drain();
  const elapsedS = (performance.now() - startedAt) / 1_000;
  const cpu = process.cpuUsage(cpuBefore);
  const costs = {
    writesPerSecond: (fixture.countWrites() - writesBefore) / elapsedS,
    cpuMsPerClaim: (cpu.user + cpu.system) / 1_000 / times.length,
    meanClaimMs: times.reduce((sum, ms) => sum + ms, 0) / times.length,
  };
  fixture.dispose();
  return costs;
}

async function measureRetainedClaims(): Promise<Slope> {
  const fixture = createClaimsFixture();
  const points: {x: number; y: number}[] = [];
  let claimed = 0;
  for (const x of RETAINED_CLAIMS) {
    while (claimed < x) {
      const batch = Array.from({length: BATCH_SIZE}, (_, i) => claimed + i);
      await Promise.all(batch.map(index => fixture.claim(index)));
      claimed += BATCH_SIZE;
    }
    await fixture.claims.drain();
    global.gc?.();
    points.push({x, y: process.memoryUsage().heapUsed / BYTES_PER_MB});
  }
  fixture.dispose();
  return {
    role: 'owner of all claim partitions and the store stand-in',
    axis: 'retained claims',
    cost: 'heap MB, stored copy included',
    points,
  };
}

function createClaimsFixture(): ClaimsFixture {
  const system = start();
  const keyValue = createKeyValue();
  const faults = {...createStoreFaults(), slowMs: STORE_DELAY_MS};
  const self = {id: 'entry-1', leaving: false} as Member;
  const claims = createClaims({
    system,
    store: createMemoryStore(keyValue, faults),
    peers: createMemoryNetwork().createPeers(self.id),
    telemetry: createTelemetry(self.id, LogLevel.Error),
    memberId: self.id,
    getMembers: () => [self],
  });

  return {
    claims,
    countWrites: () => keyValue.countWrites('claims/'),
    async claim(index) {
      const startedAt = performance.now();
      const identity = identifyRequest({
        service: 'planner-api',
        team: '',
        idempotencyKey: `booking-${index}`,
        method: 'POST',
        path: '/confirm',
        body: Buffer.from('confirm'),
      });
      const requestId = `request-${index}`;
      const reply = await claims.claim(identity, requestId, CLAIM_TIMEOUT_MS);
      if (reply.verdict !== ClaimVerdict.Granted) {
        throw new Error(`claim ${index}: ${reply.verdict}`);
      }
      const {partition, key} = identity;
      const outcome = Outcome.Run;
      const headers = '{"content-type":"application/json"}';
      const body = Buffer.alloc(200, 'x').toString('base64');
      const answer = {status: 200, headers, body, hostId: 'host'};
      void claims.finish({partition, key, requestId, outcome, answer});
      return performance.now() - startedAt;
    },
    dispose() {
      claims.dispose();
      stop(system);
      keyValue.dispose();
    },
  };
}
