import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import tseslint from 'typescript-eslint';

// Lowest layer first. A package may import only packages that stand before it.
const LAYERS = [
  'base',
  'protocol',
  'log',
  'config',
  'control',
  'routing',
  'rollout',
  'gateway',
  'entry',
  'agent',
  'ctl',
  'fakes',
  'load',
  'proof',
];

const layerRules = LAYERS.map((name, index) => ({
  files: [`packages/${name}/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          ...LAYERS.slice(index + 1).map((higher) => ({
            group: [`@hibiscushill/${higher}`, `@hibiscushill/${higher}/*`],
            message: `${name} is below ${higher} in the layering.`,
          })),
          { group: ['@hibiscushill/platform'], message: 'Nothing imports the adapter.' },
          {
            group: ['@hibiscushill/*/*'],
            message: 'Import a package through its index only.',
          },
        ],
      },
    ],
  },
}));

// The adapter stands above the parts whose ports it implements; nothing stands above it.
const ADAPTER_MAY_IMPORT = ['base', 'log', 'gateway'];

const adapterRules = [
  {
    files: ['platform/src/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            ...LAYERS.filter((name) => !ADAPTER_MAY_IMPORT.includes(name)).map((name) => ({
              group: [`@hibiscushill/${name}`, `@hibiscushill/${name}/*`],
              message: 'The adapter implements ports only.',
            })),
            {
              group: ['@hibiscushill/*/*'],
              message: 'Import a package through its index only.',
            },
          ],
        },
      ],
    },
  },
];

export default tseslint.config(
  {
    ignores: [
      '**/node_modules/**',
      'dist/**',
      'out/**',
      'target/**',
      'journal/**',
      'packages/protocol/src/generated/**',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  prettier,
  {
    languageOptions: {
      parserOptions: { projectService: { allowDefaultProject: ['*.mjs', 'scripts/*.mjs'] } },
    },
    rules: {
      // One index per package names the public surface; default exports would hide names.
      'import-x/prefer-default-export': 'off',
      // Tasks are written straight down: one awaited step after the other, in loops too.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      // Only `for..in`, labels and `with` stay restricted: tasks use `for..of` and `for await`.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      // Overrides of abstract classes need not use `this`.
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': 'off',
      // Public functions come first in a file; helpers follow.
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': 'off',
      // A topic's file may hold an abstract class and its variants.
      'max-classes-per-file': 'off',
      // Tasks are started without awaiting them: `void task()` says so.
      'no-void': ['error', { allowAsStatement: true }],
      'import-x/no-extraneous-dependencies': 'off',
    },
  },
  {
    files: ['packages/*/test/**/*.ts', 'platform/test/**/*.ts'],
    rules: {
      // neverthrow names its accessors for tests so.
      'no-underscore-dangle': ['error', { allow: ['_unsafeUnwrap', '_unsafeUnwrapErr'] }],
    },
  },
  ...adapterRules,
  ...layerRules,
);
