import assert from 'node:assert/strict';
import {IncomingMessage, ServerResponse} from 'node:http';
import {Then} from '@cucumber/cucumber';
import {createPageRoutes} from '../../src/http/operators';
import {SelectorKind} from '../../src/types';
import {settle} from '../support/paused_clock';
import {getFleet} from './fleet_world';

async function readPage(entry: number): Promise<string> {
  const {core, telemetry} = getFleet().site.entries[entry];
  const [route] = createPageRoutes({...core, telemetry});
  let text = '';
  const response = {
    writeHead: () => response,
    end: (body: Buffer) => (text = body.toString()),
  } as unknown as ServerResponse;
  await route.handle({} as IncomingMessage, response, '');
  return text;
}

Then(
  'the page of every entry host shows the wave, 2 unavailable hosts and their cause',
  async () => {
    for (let i = 0; i < getFleet().site.entries.length; i += 1) {
      const page = await readPage(i);
      assert.match(page, /<td>pool sky-lookup<\/td><td>active<\/td>/);
      assert.match(page, /sky-lookup<\/td><td>8 of 8<\/td><td>2<\/td>/);
      const causes = page.match(/is drained for wave-/g) ?? [];
      assert.ok(causes.length >= 2);
      assert.ok(!page.includes('<script'));
    }
  },
);

Then('the page escapes text entered by operators', async () => {
  const {waves} = getFleet().site.entries[0].core;
  const declared = await settle(
    waves.declare({
      selector: {kind: SelectorKind.All, name: ''},
      reason: '<script>alert(1)</script>',
      urgent: false,
      dueAt: Date.now(),
    }),
  );
  assert.ok(declared.isOk);
  const page = await readPage(0);
  assert.ok(page.includes('&lt;script&gt;alert(1)&lt;/script&gt;'));
  assert.ok(!page.includes('<script>'));
});
