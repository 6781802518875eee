import {TaskHosts} from '../../ports/hosts';
import {CallObserver, measure} from './measure';

/**
 * Wraps a client of task hosts so that its calls are measured.
 *
 * @param hosts the client to wrap
 * @param observe receives the kind, outcome and duration of each call
 */
export function createMeteredTaskHosts(
  hosts: TaskHosts,
  observe: CallObserver,
): TaskHosts {
  return {
    start: (host, order) =>
      measure('start', observe, () => hosts.start(host, order)),
    stop: (host, order) =>
      measure('stop', observe, () => hosts.stop(host, order)),
    pace: (host, order, percent) =>
      measure('pace', observe, () => hosts.pace(host, order, percent)),
    hold: (host, request) =>
      measure('hold', observe, () => hosts.hold(host, request)),
    disconnect: host => hosts.disconnect(host),
    dispose: () => hosts.dispose(),
  };
}
