import {argv} from 'node:process';

/** Whether single features are named; their paths would be added to `paths`. */
const isNamed = argv.some(argument => /\.feature(:\d+)*$/.test(argument));

/** Runs the named features, by default all, with the steps beside them. */
export default {
  import: ['features/**/*.ts'],
  paths: isNamed ? [] : ['features/**/*.feature'],
  format: ['progress', 'message:dist/test-messages.ndjson'],
  tags: 'not @known-red',
  parallel: 4,
};
