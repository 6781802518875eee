// Stand-in of the platform's machine list and machine orders.
import {setTimeout} from 'node:timers';
import {serve} from './http.mjs';

/** Creates the machines of the workers; each worker is a life of one. */
export function createMachines({workers, record, spares, moveMs, upkeepMs}) {
  const states = new Map();
  const waves = new Map();
  const isOff = ({service}) => spares.has(service);
  const api = {
    /** Called with each order before it is handled. */
    onOrder: () => {},
    listen,
  };

  function list() {
    return workers.all.map(worker => {
      const {machine, service, zone, up, id} = worker;
      const isReady = up || isOff(worker);
      return {
        machine,
        pool: service,
        state: states.get(machine) ?? (isReady ? 'up' : 'down'),
        zone,
        labels: [],
        capacity: {},
        ...(up ? {id} : {}),
      };
    });
  }

  function begin(worker, state, ms, address) {
    const {machine} = worker;
    states.set(machine, state);
    worker.leave();
    setTimeout(async () => {
      states.delete(machine);
      if (!isOff(worker)) await worker.start(address.ip, address.port);
    }, ms).unref();
  }

  function order(path, {machine, pool, wave}, getAddress) {
    const worker = workers.all.find(each => each.machine === machine);
    if (!worker) return {status: 400};
    const isMove = path === '/-/machine-move';
    const key = `${machine} ${wave}`;
    const isDone = isMove ? worker.service === pool : waves.has(key);
    if (isDone) return {status: 200, body: {}};
    if (states.has(machine) || !(worker.up || isOff(worker))) {
      return {status: 409, body: {reason: 'busy'}};
    }
    const address = getAddress(worker);
    begin(
      worker,
      isMove ? 'moving' : 'upkeep',
      isMove ? moveMs : upkeepMs,
      address,
    );
    if (isMove) worker.service = pool;
    else waves.set(key, true);
    return {status: 200, body: {}};
  }

  function listen(ip, port, getAddress) {
    return serve(ip, port, async ({method, path, headers, body}) => {
      if (method === 'GET') {
        return {status: 200, body: {machines: list(), nextToken: ''}};
      }
      const holder = headers['x-lease-holder'];
      const fence = Number(headers['x-fencing-token']);
      const given = {path, ...body, holder, fence};
      api.onOrder(given);
      const answer = order(path, body, getAddress);
      record('machine order', {...given, status: answer.status});
      return answer;
    });
  }

  return api;
}
