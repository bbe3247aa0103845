// Lint rules: typescript-eslint strict and stylistic, and one-way imports between packages.
import js from '@eslint/js';
import prettier from 'eslint-config-prettier';
import tseslint from 'typescript-eslint';
import { noNameIndex } from './scripts/lintRules/noNameIndex.mjs';

/** Packages that each package may import; any other import is a layering error. */
const allowedImports = {
  kernel: [],
  core: [],
  store: ['kernel', 'core'],
  mesh: ['kernel', 'core'],
  router: ['kernel', 'core', 'store', 'mesh'],
  gateway: ['kernel', 'core', 'store', 'mesh', 'router'],
  cli: ['kernel', 'core', 'store'],
  lab: ['kernel', 'core', 'store', 'mesh', 'router', 'cli'],
};

/** A rejection that nothing handles ends the process, so background work is started by one helper. */
const backgroundRules = [
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    rules: {
      '@typescript-eslint/no-floating-promises': ['error', { ignoreVoid: false }],
      'no-restricted-syntax': [
        'error',
        {
          selector: "ExpressionStatement > CallExpression[callee.property.name='catch']",
          message: 'start background work by `runInBackground` or `BackgroundWork`.',
        },
        {
          selector: 'ExpressionStatement > UnaryExpression[operator=void]',
          message: 'start background work by `runInBackground` or `BackgroundWork`.',
        },
        {
          selector: "CallExpression[callee.object.name='z'][callee.property.name='record']",
          message: 'use `tableSchema`: `z.record` drops an entry that is named `__proto__`.',
        },
        {
          selector: "CallExpression[callee.name='decodeURIComponent']",
          message: 'use `decodePathPart`: `decodeURIComponent` throws for malformed texts.',
        },
      ],
    },
  },
  {
    files: [
      'packages/kernel/src/runtime/backgroundWork.ts',
      'packages/kernel/src/utils/decodePathPart.ts',
      'packages/core/src/utils/table.ts',
    ],
    rules: { 'no-restricted-syntax': 'off' },
  },
  {
    // A timer of a service calls what other services and outside data make throw.
    files: ['packages/gateway/src/**/*.ts'],
    rules: {
      'no-restricted-globals': [
        'error',
        { name: 'setInterval', message: 'use `every` of the background work of the context.' },
      ],
    },
  },
];

/** Names of accounts, services, servers and instances come from outside, and may be any text. */
const tableRules = [
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    plugins: { local: { rules: { 'no-name-index': noNameIndex } } },
    rules: { 'local/no-name-index': 'error' },
  },
  {
    files: ['packages/core/src/utils/table.ts'],
    rules: { 'local/no-name-index': 'off' },
  },
];

const packageNames = Object.keys(allowedImports);

const ioModules = ['node:*', 'http', 'net', 'fs', 'timers', 'js-csp', 'winston'];

const layerRules = packageNames.map((name) => {
  const forbidden = packageNames
    .filter((other) => other !== name && !allowedImports[name].includes(other))
    .map((other) => ({
      group: [`@flamingocourse/${other}`, `**/packages/${other}/**`],
      message: `${name} may import only: ${allowedImports[name].join(', ') || 'libraries'}.`,
    }));
  const pure =
    name === 'core'
      ? [{ group: ioModules, message: 'core decides only; I/O belongs to the services.' }]
      : [];
  return {
    files: [`packages/${name}/src/**/*.ts`],
    rules: { 'no-restricted-imports': ['error', { patterns: [...forbidden, ...pure] }] },
  };
});

const adapterRules = {
  files: ['platform/src/**/*.ts'],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          {
            group: ['@flamingocourse/{mesh,router,cli,lab}', '**/packages/**'],
            message: 'the adapter may import only: kernel, core, store, gateway.',
          },
        ],
      },
    ],
  },
};

export default tseslint.config(
  { ignores: ['**/dist/**', 'target/**', '**/node_modules/**', 'reports/**'] },
  js.configs.recommended,
  {
    files: ['**/*.ts'],
    extends: [...tseslint.configs.strictTypeChecked, ...tseslint.configs.stylisticTypeChecked],
    languageOptions: {
      parserOptions: { project: './tsconfig.test.json', tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/consistent-type-imports': [
        'error',
        { fixStyle: 'separate-type-imports' },
      ],
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
    },
  },
  {
    // test() and describe() of node:test return promises that the test runner awaits.
    files: ['test/**/*.ts'],
    rules: {
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            { from: 'package', package: 'node:test', name: ['test', 'describe', 'it', 'suite'] },
          ],
        },
      ],
    },
  },
  {
    // The core takes the current time and random generators as arguments.
    files: ['packages/core/src/**/*.ts'],
    rules: {
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now', message: 'pass `now` as an argument.' },
        { object: 'Math', property: 'random', message: 'pass a seeded generator.' },
      ],
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'performance', 'process'],
    },
  },
  {
    files: ['**/*.mjs'],
    languageOptions: { globals: { process: 'readonly', console: 'readonly', URL: 'readonly' } },
  },
  {
    files: ['**/*.cjs'],
    languageOptions: {
      sourceType: 'commonjs',
      globals: { process: 'readonly', __dirname: 'readonly' },
    },
  },
  ...backgroundRules,
  ...tableRules,
  ...layerRules,
  adapterRules,
  prettier,
);
