import { mkdir } from 'node:fs/promises';

import { build } from 'esbuild';

// CommonJS packages inside the bundle call `require` for built-in modules.
const REQUIRE_BANNER =
  "import { createRequire as createBundleRequire } from 'node:module';" +
  'const require = createBundleRequire(import.meta.url);';

await mkdir('target', { recursive: true });
await build({
  entryPoints: [{ in: 'platform/src/main.ts', out: 'hibiscus-node' }],
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  minify: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: { js: REQUIRE_BANNER },
  external: ['unix-dgram'],
  logLevel: 'warning',
});
