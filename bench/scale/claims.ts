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

const RATES = [25, 50, 100, 200, 400, 800];
const RETAINED = [5_000, 10_000, 20_000, 40_000];
const SECONDS = 4;
const QUICK_SECONDS = 2;
const STORE_MS = 3;
const TICK_MS = 10;
const TIMEOUT_MS = 5_000;
const BATCH = 500;
const BYTES_PER_MB = 1_048_576;

interface Probe {
  readonly claims: Claims;
  countWrites(): number;
  /** Claims a key and reports its run; returns the time to the claim in ms. */
  claim(index: number): Promise<number>;
  dispose(): void;
}

interface RateFigures {
  readonly writesPerSecond: number;
  readonly cpuMsPerClaim: number;
  readonly claimMs: number;
}

/** Measures what claims cost by their rate and by their number. */
export const probeClaims: ScaleProbe = async quick => {
  const figures: {x: number; figures: RateFigures}[] = [];
  for (const x of RATES) {
    const seconds = quick ? QUICK_SECONDS : SECONDS;
    figures.push({x, figures: await measureRate(x, seconds)});
  }
  const byRate = (
    cost: string,
    read: (rate: RateFigures) => number,
  ): Slope => ({
    role: 'owner of all claim partitions',
    axis: 'claims per second',
    cost,
    points: figures.map(({x, figures}) => ({x, y: read(figures)})),
  });
  return [
    byRate('store writes per second', rate => rate.writesPerSecond),
    byRate('cpu ms per claim', rate => rate.cpuMsPerClaim),
    byRate('ms to a claim, mean', rate => rate.claimMs),
    await measureRetained(),
  ];
};

async function measureRate(
  rate: number,
  seconds: number,
): Promise<RateFigures> {
  const probe = createProbe();
  await probe.claim(-1);
  const writesBefore = probe.countWrites();
  const cpuBefore = process.cpuUsage();
  const startedAt = performance.now();
  const claims: Promise<number>[] = [];
  while (performance.now() - startedAt < seconds * 1_000) {
    const due = ((performance.now() - startedAt) / 1_000) * rate;
    while (claims.length < due) claims.push(probe.claim(claims.length));
    await delay(TICK_MS);
  }
  const times = await Promise.all(claims);
  await probe.claims.drain();
  const passedSeconds = (performance.now() - startedAt) / 1_000;
  const cpu = process.cpuUsage(cpuBefore);
  const figures = {
    writesPerSecond: (probe.countWrites() - writesBefore) / passedSeconds,
    cpuMsPerClaim: (cpu.user + cpu.system) / 1_000 / times.length,
    claimMs: times.reduce((sum, ms) => sum + ms, 0) / times.length,
  };
  probe.dispose();
  return figures;
}

async function measureRetained(): Promise<Slope> {
  const probe = createProbe();
  const points: {x: number; y: number}[] = [];
  let claimed = 0;
  for (const x of RETAINED) {
    while (claimed < x) {
      const batch = Array.from({length: BATCH}, (_, i) => claimed + i);
      await Promise.all(batch.map(index => probe.claim(index)));
      claimed += BATCH;
    }
    await probe.claims.drain();
    global.gc?.();
    points.push({x, y: process.memoryUsage().heapUsed / BYTES_PER_MB});
  }
  probe.dispose();
  return {
    role: 'owner of all claim partitions and the store stand-in',
    axis: 'retained claims',
    cost: 'heap MB, stored copy included',
    points,
  };
}

function createProbe(): Probe {
  const system = start();
  const keyValue = createKeyValue();
  const faults = {...createStoreFaults(), slowMs: STORE_MS};
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
      const reply = await claims.claim(identity, requestId, TIMEOUT_MS);
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
