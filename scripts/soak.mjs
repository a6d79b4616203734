// Bundles the soak and runs it; `npm run soak` builds the program first: `npm run soak -- --seed 1 --runs 10 --seconds 10`.
import { resolve } from 'node:path';
import { pathToFileURL } from 'node:url';

import { build } from 'esbuild';

const outfile = resolve('dist', 'soak', 'main.mjs');

await build({
  entryPoints: ['platform/test/soak/main.ts'],
  outfile,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: {
    js: "import { createRequire as cr } from 'node:module'; const require = cr(import.meta.url);",
  },
  external: ['unix-dgram'],
  logLevel: 'warning',
});
await import(pathToFileURL(outfile).href);
