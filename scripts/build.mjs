import { mkdir } from 'node:fs/promises';

import { build } from 'esbuild';

// The programs to bundle into dist, with their entry points.
const PROGRAMS = {
  'hibiscus-entry': 'packages/entry/src/main.ts',
  'hibiscus-agent': 'packages/agent/src/main.ts',
  hibiscusctl: 'packages/ctl/src/main.ts',
  'hibiscus-fakes': 'packages/fakes/src/main.ts',
  'hibiscus-load': 'packages/load/src/main.ts',
  'hibiscus-proof': 'packages/proof/src/main.ts',
};

// CommonJS packages inside the bundle call `require` for built-in modules.
const REQUIRE_BANNER =
  "import { createRequire as createBundleRequire } from 'node:module';" +
  'const require = createBundleRequire(import.meta.url);' +
  "import { fileURLToPath as bundlePath } from 'node:url';" +
  "const __filename = bundlePath(import.meta.url); const __dirname = bundlePath(new URL('.', import.meta.url));";

await mkdir('dist', { recursive: true });
await build({
  entryPoints: Object.entries(PROGRAMS).map(([out, input]) => ({ in: input, out })),
  outdir: 'dist',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  sourcemap: true,
  banner: { js: REQUIRE_BANNER },
  external: ['unix-dgram'],
  logLevel: 'warning',
});
