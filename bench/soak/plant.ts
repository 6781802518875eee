import {LEADER_KEY} from '../../src/actors/workflows/keys';
import {ExternalPlatform} from '../../src/stand_ins/external_platform';
import {BOUNDS} from './bounds';
import {CallRecord} from './caller';
import {Operator} from './operator';
import {POOLS} from './site';
import {CallEnd, Submission} from './submission';
import {Check} from './verdict';

/**
 * Faults that the soak plants in what it sees or in its stand-ins, each once, to
 * show that the check of the same name fails.
 */
export interface Plants {
  /** Returns true the first time it is asked for a planted check. */
  take(check: Check): boolean;
}

/** Creates the planted faults. */
export function createPlants(checks: Iterable<Check>): Plants {
  const left = new Set(checks);
  return {take: check => left.delete(check)};
}

/** Starts a second run of a task that runs; returns whether there was one. */
export async function doubleRun(
  {fleet, keyValue}: ExternalPlatform,
  submissions: ReadonlyMap<string, Submission>,
): Promise<boolean> {
  const models = [...fleet.machines.keys()].flatMap(
    machine => fleet.getHost(machine) ?? [],
  );
  for (const model of models) {
    for (const {task, run, percent} of model.listRunning()) {
      const other = models.find(({host}) => host.id !== model.host.id);
      const submission = submissions.get(task.split('.')[0]);
      const isFresh =
        percent < 50 && submission?.workflow.steps[0].gang === false;
      if (!other || !submission || !isFresh) continue;
      const order = {
        task,
        run: run + 1,
        spec: submission.workflow.spec,
        untilMs: Number.MAX_SAFE_INTEGER,
        fence: keyValue.get(LEADER_KEY)?.version ?? 0,
        checkpoint: '',
        ticket: '',
      };
      if (other.start(order).refusal === undefined) return true;
    }
  }
  return false;
}

/** Makes an answered call look as if its connection had ended. */
export function cutAnswer(record: CallRecord): CallRecord {
  const sentAt = record.sentAt - BOUNDS.contactMs;
  return {
    ...record,
    sentAt,
    served: true,
    end: CallEnd.Cut,
    status: 0,
    body: {},
  };
}

/** Reports a wave as completed that has just been declared. */
export function completeWaveEarly(
  {keyValue}: ExternalPlatform,
  operator: Operator,
): void {
  const [pool] = POOLS.keys();
  const key = `status/wave/${operator.declareWave(pool, 1).wave}`;
  const value = JSON.stringify({state: 'completed'});
  keyValue.swap({key, expectedVersion: 0, value});
}
