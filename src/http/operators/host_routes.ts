import {HostCalls} from '../../actors/fleet';
import {Route} from './route';
import {sendResult} from './send_result';

/** Creates the routes that explain a host and release it from quarantine. */
export function createHostRoutes(hosts: HostCalls): readonly Route[] {
  return [
    {
      method: 'GET',
      path: '/v1/hosts/:id',
      async handle(_, response, id) {
        sendResult(response, 200, hosts.show(id));
      },
    },
    {
      method: 'POST',
      path: '/v1/hosts/:id/release',
      async handle(_, response, id) {
        sendResult(response, 200, await hosts.release(id));
      },
    },
  ];
}
