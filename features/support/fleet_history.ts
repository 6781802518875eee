import {HistoryEvent, HistoryEventKind} from '../../src/history/fleet';
import {KeyValue} from '../../src/stand_ins/platform';
import {WorkerModel} from '../../src/stand_ins/worker';

/**
 * Records all writes to a key-value service and all ordered reboots from now
 * on.
 *
 * @param keyValue state of the service; its `swap` is wrapped
 * @param workers workers whose reboots are recorded; their `reboot` is wrapped
 * @returns the recorded events; new events are appended
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
