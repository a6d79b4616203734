import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import tseslint from 'typescript-eslint';

// The packages from the lowest layer to the highest. Each may import only those before it.
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

// The platform adapter may import only the packages whose interfaces (ports) it implements, and no
// package may import the adapter.
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
      // A package's index lists its public names; default exports would hide them.
      'import-x/prefer-default-export': 'off',
      // Tasks await their steps one after the other, in loops too.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      // Allows `for..of` and `for await`, which tasks use and Airbnb forbids.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      // A method that overrides an abstract one may not need `this`.
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': 'off',
      // In each file, public functions come first and their helpers follow.
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': 'off',
      // A file may contain an abstract class and its implementations.
      'max-classes-per-file': 'off',
      // `void task()` marks a promise that is deliberately not awaited.
      'no-void': ['error', { allowAsStatement: true }],
      'import-x/no-extraneous-dependencies': 'off',
    },
  },
  {
    files: ['packages/*/test/**/*.ts', 'platform/test/**/*.ts'],
    rules: {
      // The names of neverthrow's accessors for tests.
      'no-underscore-dangle': ['error', { allow: ['_unsafeUnwrap', '_unsafeUnwrapErr'] }],
    },
  },
  ...adapterRules,
  ...layerRules,
);
