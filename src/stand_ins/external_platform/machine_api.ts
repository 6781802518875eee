import {
  MachineOrderFailure,
  MachineOrderHolder,
  Machines,
} from '../../ports/hosts';
import {JsonAnswer, JsonCall} from './json_server';

/** Machines per page of the list; small enough that tests use paging. */
const MACHINES_PER_PAGE = 3;

/**
 * Creates the handler of the machines' HTTP API, backed by the stand-in fleet.
 */
export function createMachineApi(machines: Machines) {
  return async (call: JsonCall): Promise<JsonAnswer> => {
    const {method, path, query, headers, body} = call;
    const machine = String(body.machine);
    const orderHolder: MachineOrderHolder = {
      holder: String(headers['x-lease-holder']),
      fence: Number(headers['x-fencing-token']),
    };
    switch (`${method} ${path}`) {
      case 'GET /-/machines':
        return list(Number(query.get('pageToken') ?? 0));
      case 'POST /-/machine-move':
        return answer(
          await machines.move(machine, String(body.pool), orderHolder),
        );
      case 'POST /-/machine-upkeep':
        return answer(
          await machines.service(machine, Number(body.wave), orderHolder),
        );
      default:
        return {status: 400};
    }
  };

  async function list(from: number): Promise<JsonAnswer> {
    const all = (await machines.list()).unwrapOr([]);
    const to = from + MACHINES_PER_PAGE;
    return {
      status: 200,
      body: {
        machines: all.slice(from, to).map(({id, pool, state, hostId}) => ({
          machine: id,
          pool,
          state,
          ...(hostId === '' ? {} : {id: hostId}),
        })),
        nextToken: to < all.length ? String(to) : '',
      },
    };
  }
}

function answer(result: Awaited<ReturnType<Machines['move']>>): JsonAnswer {
  if (result.isOk) return {status: 200, body: {}};
  if (result.error === MachineOrderFailure.Impossible) return {status: 400};
  return {status: 409, body: {reason: 'busy'}};
}
