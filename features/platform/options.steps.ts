import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {readPlatformOptions} from '../../platform/options';

let environment: Record<string, string> = {};

When(
  /^the variable "(.*)" is (?:not set|"(.*)")$/,
  (name: string, value: string | null) => {
    environment = value === null ? {} : {[name]: value};
  },
);

Then(/^the entry host (looks|does not look) ahead$/, (how: string) =>
  assert.equal(readPlatformOptions(environment).looksAhead, how === 'looks'),
);

Then('the entry host does not start and names {string}', (name: string) =>
  assert.throws(() => readPlatformOptions(environment), new RegExp(name)),
);
