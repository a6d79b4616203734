// Bundles a bench of a package and runs it: `node --expose-gc scripts/bench.mjs config/store`.
// Other programs go by their path: `node scripts/bench.mjs platform/test/soak/main.ts`.
import { resolve } from 'node:path';
import process from 'node:process';
import { pathToFileURL } from 'node:url';

import { build } from 'esbuild';

const [name, ...args] = process.argv.slice(2);
const [part, file] = (name ?? '').split('/');
const entryPoint = name?.endsWith('.ts') ? name : `packages/${part}/bench/${file}.ts`;
const outfile = resolve('dist', 'bench', `${entryPoint.replaceAll('/', '-')}.mjs`);

await build({
  entryPoints: [entryPoint],
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
process.argv = [process.argv[0], outfile, ...args];
await import(pathToFileURL(outfile).href);
