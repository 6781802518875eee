/** Import rules that keep the folders' roles apart. */
module.exports = {
  forbidden: [
    {
      name: 'no-circular',
      severity: 'error',
      from: {},
      to: {circular: true, dependencyTypesNot: ['type-only']},
    },
    {
      name: 'decisions-are-pure',
      comment: 'Decisions take data and functions; they reach no adapter, actor or network.',
      severity: 'error',
      from: {path: '^src/decisions/'},
      to: {path: '^src/(adapters|actors|http|cli|wiring|stand_ins|telemetry)/'},
    },
    {
      name: 'adapters-decide-nothing',
      severity: 'error',
      from: {path: '^src/adapters/'},
      to: {path: '^src/(decisions|actors|http|cli|wiring|stand_ins)/'},
    },
    {
      name: 'actors-use-ports',
      comment: 'Actors see the outside through ports; only wiring picks adapters.',
      severity: 'error',
      from: {path: '^src/actors/'},
      to: {path: '^src/(adapters|http|cli|wiring|stand_ins)/'},
    },
    {
      name: 'types-stand-alone',
      severity: 'error',
      from: {path: '^src/(types|ports)/'},
      to: {path: '^src/(?!types|ports)'},
    },
  ],
  options: {
    doNotFollow: {path: 'node_modules'},
    exclude: {path: 'generated'},
    tsPreCompilationDeps: true,
    tsConfig: {fileName: 'tsconfig.json'},
    enhancedResolveOptions: {extensions: ['.ts', '.js', '.json']},
  },
};
