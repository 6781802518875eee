import {TaskHosts} from '../../ports/hosts';
import {ObserveCall, measure} from './measure';

/**
 * Creates orders to hosts that are measured.
 *
 * @param hosts the orders that are given
 * @param observe told of each call's kind, outcome and time
 */
export function createMeteredTaskHosts(
  hosts: TaskHosts,
  observe: ObserveCall,
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
