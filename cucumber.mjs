/** Runs the features that are named, by default all, with the steps beside them. */
const isNamed = process.argv.some(argument => /\.feature(:\d+)*$/.test(argument));

export default {
  import: ['features/**/*.ts'],
  // Paths given on the command line would be added to these.
  paths: isNamed ? [] : ['features/**/*.feature'],
  format: ['progress', 'message:dist/test-messages.ndjson'],
  tags: 'not @known-red',
  parallel: 4,
};
