import {HistoryEvent, HistoryEventKind} from '../../src/history/fleet';
import {KeyValue} from '../../src/stand_ins/platform';
import {WorkerModel} from '../../src/stand_ins/worker';

/**
 * Records every write to a key-value service and every ordered reboot that begins.
 *
 * @param keyValue the service's state; its swaps are recorded from now on
 * @param workers workers whose reboots are recorded from now on
 * @returns the events, which grow
 */
export function recordFleetHistory(
  keyValue: KeyValue,
  workers: Iterable<WorkerModel>,
): readonly HistoryEvent[] {
  const events: HistoryEvent[] = [];
  const {swap} = keyValue;
  keyValue.swap = request => {
    const result = swap(request);
    if (result.swapped) {
      const {key, value} = request;
      const at = Date.now();
      events.push({kind: HistoryEventKind.Write, at, key, value});
    }
    return result;
  };
  for (const worker of workers) {
    const {reboot} = worker;
    worker.reboot = expectedBoot => {
      const wasUp = worker.isUp();
      reboot(expectedBoot);
      if (!wasUp || worker.isUp()) return;
      const hostId = worker.host.id;
      events.push({kind: HistoryEventKind.Reboot, at: Date.now(), hostId});
    };
  }
  return events;
}
