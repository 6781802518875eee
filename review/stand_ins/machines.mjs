import {createJsonServer} from './json_server.mjs';

/**
 * Creates a stand-in for the platform's list of machines. It carries out no
 * moves and no upkeep: the deployments of these cases need none, as they have
 * one pool and no waves.
 */
export function createMachines(workers) {
  const server = createJsonServer(async ({method, path}) => {
    if (method !== 'GET' || path !== '/-/machines') {
      return {status: 409, body: {reason: 'busy'}};
    }
    const machines = workers.map(worker => ({
      machine: worker.machine,
      pool: worker.service,
      state: worker.isUp() ? 'up' : 'down',
      zone: 'zone-a',
      labels: ['a', 'r1-1'],
      capacity: worker.capacity,
      ...(worker.isUp() ? {id: worker.id} : {}),
    }));
    return {status: 200, body: {machines, nextToken: null}};
  });
  return {listen: host => server.listen(host), close: () => server.close()};
}
