import assert from 'node:assert/strict';
import {once} from 'node:events';
import {Server, ServerResponse, createServer} from 'node:http';
import {AddressInfo} from 'node:net';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {createPlatformMachines} from '../../platform/machines';

let server: Server | undefined;
let address = '';
let outcomes: readonly boolean[] = [];

After(() => {
  server?.close();
  server?.closeAllConnections();
  server = undefined;
});

Given(
  'a machine API that answers only once {int} orders have arrived',
  async (count: number) => {
    const waiting: ServerResponse[] = [];
    server = createServer((request, response) => {
      request.resume();
      waiting.push(response);
      if (waiting.length < count) return;
      for (const each of waiting) each.end('{}');
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  },
);

When('{int} machines are ordered to move', async (count: number) => {
  const machines = createPlatformMachines(address);
  const holder = {holder: 'entry-1/2', fence: 2};
  const answers = await Promise.all(
    Array.from({length: count}, (_, index) =>
      machines.move(`m-${index}`, 'planner-api', holder),
    ),
  );
  outcomes = answers.map(({isOk}) => isOk);
});

Then('all {int} orders are done', (count: number) => {
  assert.equal(outcomes.filter(Boolean).length, count);
});
