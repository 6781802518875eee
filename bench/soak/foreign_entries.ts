import {REGISTRY_PREFIX} from '../../src/stand_ins/external_platform';
import {Random} from './random';
import {POOLS} from './site';

/** Service that no configuration names. */
const UNKNOWN_SERVICE = 'node-agent';
const ADDRESSES = [
  ...['127.0.0.1:90100', '127.0.0.1:99999999999999999999', '127.0.0.1:0'],
  ...['256.0.0.1:8000', '999.999.999.999:9', '1.2.3:80', '1.2.3.4.5:80'],
  ...['127.0.0.1', '127.0.0.1:', ':80', '', 'http://127.0.0.1:80', '[::1]:80'],
];
const IDS = [
  ...['', ' ', 'a/b', '../a', '%zz', '__proto__', 'constructor'],
  ...['line\r\nx-second: 1', 'nul\u0000', 'grün-\u{1f600}', 'x'.repeat(190)],
];
const UNREADABLE = [
  ...['', 'null', '7', '"text"', '[]', '{"service":', '\u0000\u0001\ufffd'],
  ...['['.repeat(100_000), '{"__proto__":{"service":"planner"}}'],
];
const VALUES = [null, true, 7, -1, 1e308, '', 'text', [], [[]], {}, {cpu: []}];
const LARGE_BYTES = 900_000;
const MANY = 600;

/** Draws registrations that another program writes, by key. */
export function drawForeignEntries(
  random: Random,
): ReadonlyMap<string, string> {
  const sound = {
    service: random.pick([UNKNOWN_SERVICE, ...POOLS.keys()]),
    address: '127.0.0.1:9',
    zone: 'zone-a',
    version: '7',
    slots: 8,
    state: 'ready',
    coldLeftMs: 0,
    sequence: 1,
    machine: 'agent-1',
    born: 1,
    // Nothing fits, so that a registration taken for a host's gets no task.
    capacity: {cpu: 0, memMb: 0, gpu: 0},
    labels: ['kind-a', 'rack-9'],
  };
  const write = (changed: object) => JSON.stringify({...sound, ...changed});
  const one = (value: string, id = 'agent-1') =>
    new Map([[REGISTRY_PREFIX + id, value]]);
  const name = random.pick(Object.keys(sound));
  const address = random.pick(ADDRESSES);
  const draws = [
    () => one(write({address})),
    () => one(write({[name]: undefined})),
    () => one(write({[name]: random.pick(VALUES)})),
    () => one(random.pick(UNREADABLE)),
    () => one(write({}), random.pick(IDS)),
    () => one(write({labels: [], note: 'x'.repeat(LARGE_BYTES)})),
    () => one(write({labels: new Array(LARGE_BYTES / 10).fill('label-9')})),
    () =>
      new Map(
        Array.from({length: MANY}, (_, at) => [
          `${REGISTRY_PREFIX}agent-${at + 1}`,
          write({address: ADDRESSES[at % ADDRESSES.length]}),
        ]),
      ),
  ];
  return random.pick([draws[0], draws[0], ...draws])();
}
