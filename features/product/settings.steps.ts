import assert from 'node:assert/strict';
import {DataTable, Given, Then, When} from '@cucumber/cucumber';
import {SettingInputs, findSettings, readSettings} from '../../src/settings';

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
  read = readSettings(inputs());
});

Then("the settings' findings stand at", (table: DataTable) => {
  if (read.isOk) throw new Error('there are no findings');
  const places = read.error.map(({place}) => place);
  assert.deepEqual(
    places,
    table.raw().map(([place]) => place),
  );
});

Then(
  "the callers' port is {int} from {string}",
  (port: number, place: string) =>
    expectSetting('caller-port', readOk().callerPort, port, place),
);

Then(
  "the operators' port is {int} from {string}",
  (port: number, place: string) =>
    expectSetting('operator-port', readOk().operatorPort, port, place),
);

Then(
  "the members' port is {int} from {string}",
  (port: number, place: string) =>
    expectSetting('peer-port', readOk().peerPort, port, place),
);

Then('{int} store addresses are read', (count: number) => {
  assert.equal(readOk().storeUrls.length, count);
});

function readOk() {
  if (read.isErr) throw new Error(JSON.stringify(read.error));
  return read.value;
}

function expectSetting(
  flag: string,
  value: number,
  wanted: number,
  place: string,
): void {
  assert.equal(value, wanted);
  const given = findSettings(inputs()).find(setting => setting.flag === flag);
  assert.equal(given?.place, place);
}

function inputs(): SettingInputs {
  return {flags, environment};
}
