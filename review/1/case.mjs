import {
  IS_CALM,
  delay,
  readState,
  runCase,
  submit,
} from '../stand_ins/deployment.mjs';

const WATCH_MS = 40_000;
/** Ends of one process, and machines with so many, from which it is a fault. */
const MAX_OWN_ENDS = 3;
const MAX_MACHINES = 2;

await runCase(
  import.meta.dirname,
  {entries: 4, workers: [{}, {}]},
  async deployment => {
    const {record, store, entries} = deployment;
    if (!IS_CALM) {
      const entry = {
        service: 'node-agent',
        address: '127.0.0.1:90100',
        zone: 'zone-a',
        version: '7',
        state: 'ready',
        capacity: {cpu: 0, memMb: 0, gpu: 0},
        machine: 'agent-1',
      };
      record('another program writes', {key: 'servers/agent-1', entry});
      store.write('servers/agent-1', entry);
    }
    await delay(WATCH_MS / 2);
    const {id, status} = await submit(deployment, 0, {count: 2, workMs: 500});
    await delay(WATCH_MS / 2);
    await readState(deployment, 1, id);
    const crashed = entries.filter(({ownEnds}) => ownEnds >= MAX_OWN_ENDS);
    record('ends by themselves', {
      counts: entries.map(({ownEnds}) => ownEnds),
      submission: status,
    });
    if (crashed.length < MAX_MACHINES) return [];
    const names = crashed.map(({name, ownEnds}) => `${name} ${ownEnds} times`);
    return [
      `Fault: processes ended by themselves with no impairment there: ${names.join(', ')}`,
    ];
  },
);
