// Stand-in of the platform's machine list and machine orders.
import {setTimeout} from 'node:timers';
import {serve} from './http.mjs';

/** Creates the machines of the workers; each worker is a life of one. */
export function createMachines({workers, record, moveMs, upkeepMs}) {
  const states = new Map();
  const pools = new Map();
  const waves = new Map();

  function list() {
    return workers.all.map(({machine, service, zone, up, id}) => ({
      machine,
      pool: pools.get(machine) ?? service,
      state: states.get(machine) ?? (up ? 'up' : 'down'),
      zone,
      labels: [],
      capacity: {},
      ...(up && !states.has(machine) ? {id} : {}),
    }));
  }

  function begin(worker, state, ms, address) {
    const {machine} = worker;
    states.set(machine, state);
    worker.leave();
    setTimeout(async () => {
      states.delete(machine);
      worker.service = pools.get(machine) ?? worker.service;
      await worker.start(address.ip, address.port);
    }, ms).unref();
  }

  return {
    states,
    listen: (ip, port, getAddress) =>
      serve(ip, port, async ({method, path, headers, body}) => {
        if (method === 'GET') {
          return {status: 200, body: {machines: list(), nextToken: ''}};
        }
        const holder = headers['x-lease-holder'];
        const fence = Number(headers['x-fencing-token']);
        record('machine order', {path, ...body, holder, fence});
        const worker = workers.all.find(each => each.machine === body.machine);
        if (!worker) return {status: 400};
        const isMove = path === '/-/machine-move';
        const key = `${body.machine} ${body.wave}`;
        if (!isMove && waves.has(key)) return {status: 200, body: {}};
        if (isMove && worker.service === body.pool) {
          return {status: 200, body: {}};
        }
        if (!worker.up || states.has(body.machine)) {
          return {status: 409, body: {reason: 'busy'}};
        }
        if (isMove) pools.set(body.machine, body.pool);
        else waves.set(key, true);
        const ms = isMove ? moveMs : upkeepMs;
        begin(worker, isMove ? 'moving' : 'upkeep', ms, getAddress(worker));
        return {status: 200, body: {}};
      }),
  };
}
