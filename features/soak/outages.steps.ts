import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {Fault, FaultKind} from '../../bench/soak/fault';
import {planOutages} from '../../bench/soak/plan_outages';
import {createRandom} from '../../bench/soak/random';
import {HOST_COUNT} from '../../bench/soak/site';

let faults: readonly Fault[] = [];

When(
  'the soak draws two outages for seed {int} and {int} s',
  (seed: number, seconds: number) => {
    faults = planOutages(createRandom(seed), seconds * 1_000, HOST_COUNT);
  },
);

Then(
  'they begin {int} to {int} s apart, and all entry processes are killed after them',
  (minS: number, maxS: number) => {
    const [first, second] = faults;
    const apartMs = second.atMs - first.atMs;
    assert.ok(apartMs >= minS * 1_000 && apartMs <= maxS * 1_000, `${apartMs}`);
    const cut = faults.find(({kind}) => kind === FaultKind.PowerCut);
    assert.ok(cut && cut.atMs > second.atMs + second.forMs);
  },
);

Then(
  'in each outage entries lapse and hosts restart, and orders outlive them',
  () => {
    for (const {atMs, forMs} of faults.slice(0, 2)) {
      const meanwhile = faults
        .filter(fault => fault.atMs >= atMs && fault.atMs <= atMs + forMs)
        .map(({kind}) => kind);
      assert.ok(meanwhile.includes(FaultKind.LapsedEntry));
      assert.ok(meanwhile.includes(FaultKind.HostRestart));
    }
    const kinds = faults.map(({kind}) => kind);
    assert.ok(kinds.includes(FaultKind.OutlivingOrders));
    assert.ok(kinds.includes(FaultKind.Starve));
  },
);
