import {Result} from 'true-myth';
import {
  HoldReport,
  HostAnswer,
  HostCallFailure,
  HostRefusal,
  TaskHosts,
} from '../../ports/hosts';
import {TaskHostModel} from '../fleet';
import {JsonAnswer, JsonCall} from './json_server';

const REASONS: Readonly<Record<HostRefusal, string>> = {
  [HostRefusal.Fenced]: 'fence',
  [HostRefusal.OldRun]: 'old',
  [HostRefusal.LeaseExpired]: 'late',
  [HostRefusal.NoRoom]: 'room',
  [HostRefusal.Ticket]: 'ticket',
  [HostRefusal.Malformed]: 'malformed',
};

const NOBODY_LISTENS = 'nobody listens at the address';

/**
 * Creates the handler of one host's HTTP API, backed by the stand-in fleet.
 *
 * @param hosts calls to the hosts of the fleet
 * @param getHost returns the host that is currently at the address; undefined
 *     if it is down, so that connections break
 */
export function createHostApi(
  hosts: TaskHosts,
  getHost: () => TaskHostModel | undefined,
) {
  return async ({path, headers, body}: JsonCall): Promise<JsonAnswer> => {
    const model = getHost();
    if (!model) throw new Error(NOBODY_LISTENS);
    const {host} = model;
    if (headers['x-expect-instance'] !== host.id) return {status: 421};
    const order = {
      task: String(body.task),
      run: Number(body.run),
      fence: Number(body.fence ?? 0),
    };
    switch (path) {
      case '/-/run-start': {
        const answer = await hosts.start(host, {
          ...order,
          spec: String(body.spec),
          untilMs: Number(body.untilMs),
          checkpoint: String(body.checkpointData ?? ''),
          ticket: String(body.ticket ?? ''),
        });
        return send(answer, writeAnswer);
      }
      case '/-/run-stop': {
        const answer = await hosts.stop(host, order);
        return send(answer, writeAnswer);
      }
      case '/-/pace': {
        const answer = await hosts.pace(host, order, Number(body.percent));
        return send(answer, writeAnswer);
      }
      case '/-/hold': {
        const answer = await hosts.hold(host, {
          fence: order.fence,
          seenEnd: Number(body.lastSeen ?? 0),
          // A connection breaks when its host ends, so it leads to this one.
          seenOn: new WeakSet([model]),
          untilMs:
            body.untilMs === undefined ? undefined : Number(body.untilMs),
          waitMs: Number(body.waitMs ?? 0),
        });
        return send(answer, writeReport);
      }
      default:
        return {status: 400};
    }
  };
}

/**
 * Answers a call; a call whose answer is lost stays open.
 *
 * @throws Error that breaks the connection if the host is down
 */
function send<T>(
  result: Result<T, HostCallFailure>,
  write: (value: T) => JsonAnswer,
): JsonAnswer | Promise<JsonAnswer> {
  if (result.isOk) return write(result.value);
  if (result.error === HostCallFailure.Replaced) return {status: 421};
  if (result.error === HostCallFailure.Unreachable) {
    throw new Error(NOBODY_LISTENS);
  }
  return new Promise(() => {});
}

function writeAnswer({clockMs, refusal}: HostAnswer): JsonAnswer {
  if (refusal === undefined) return {status: 200, body: {clockMs}};
  return {status: 409, body: {clockMs, reason: REASONS[refusal]}};
}

function writeReport(report: HoldReport): JsonAnswer {
  if (report.refusal !== undefined) return writeAnswer(report);
  return {
    status: 200,
    body: {
      clockMs: report.clockMs,
      born: report.bornAt,
      running: report.running.map(run => [
        run.task,
        run.run,
        run.checkpoint,
        run.percent,
        run.load,
      ]),
      ended: report.ended.map(end => [
        end.number,
        end.task,
        end.run,
        end.kind,
        end.checkpoint,
      ]),
    },
  };
}
