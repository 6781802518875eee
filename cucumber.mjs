/** Runs every feature under features/ with the steps beside them. */
export default {
  import: ['features/**/*.ts'],
  paths: ['features/**/*.feature'],
  format: ['progress', 'message:dist/test-messages.ndjson'],
  tags: 'not @known-red',
  parallel: 4,
};
