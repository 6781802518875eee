import assert from 'node:assert/strict';
import {DataTable, Given, Then, When} from '@cucumber/cucumber';
import {SettingInputs, resolveSettings, readSettings} from '../../src/settings';

let flags: Record<string, string> = {};
let environment: Record<string, string> = {};
let read: ReturnType<typeof readSettings>;

Given('the flags', (table: DataTable) => {
  flags = table.rowsHash();
  environment = {};
});

Given('the variables', (table: DataTable) => {
  environment = table.rowsHash();
});

When('the settings are read', () => {
  read = readSettings(createInputs());
});

Then('the findings about the settings are reported at', (table: DataTable) => {
  if (read.isOk)
    throw new Error('expected findings, but the settings are valid');
  const places = read.error.map(({place}) => place);
  assert.deepEqual(
    places,
    table.raw().map(([place]) => place),
  );
});

Then('the caller port is {int} from {string}', (port: number, place: string) =>
  assertSetting('caller-port', getSettings().callerPort, port, place),
);

Then(
  'the operator port is {int} from {string}',
  (port: number, place: string) =>
    assertSetting('operator-port', getSettings().operatorPort, port, place),
);

Then('the peer port is {int} from {string}', (port: number, place: string) =>
  assertSetting('peer-port', getSettings().peerPort, port, place),
);

Then('{int} store URLs are read', (count: number) => {
  assert.equal(getSettings().storeUrls.length, count);
});

function getSettings() {
  if (read.isErr) throw new Error(JSON.stringify(read.error));
  return read.value;
}

function assertSetting(
  flag: string,
  value: number,
  expected: number,
  place: string,
): void {
  assert.equal(value, expected);
  const found = resolveSettings(createInputs()).find(
    setting => setting.flag === flag,
  );
  assert.equal(found?.place, place);
}

function createInputs(): SettingInputs {
  return {flags, environment};
}
