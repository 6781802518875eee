import gts from 'gts';

/** Lint rules: Google TypeScript Style as shipped by gts. */
export default [
  {
    ignores: [
      'dist/',
      'target/',
      'node_modules/',
      'src/**/generated/',
      '**/*.cjs',
    ],
  },
  ...gts,
  {
    languageOptions: {ecmaVersion: 2022, sourceType: 'module'},
    rules: {
      'n/no-unpublished-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-process-exit': 'off',
      'n/hashbang': 'off',
    },
  },
  {
    files: ['scripts/*.mjs'],
    languageOptions: {globals: {process: 'readonly', console: 'readonly'}},
  },
];
