// Bundles and runs a TypeScript program that is not part of the build. A benchmark of a package is
// given as package/file: `node --expose-gc scripts/bench.mjs config/store`. Any other program is
// given as a path: `node scripts/bench.mjs platform/test/soak/main.ts`.
import { resolve } from 'node:path';
import process from 'node:process';
import { pathToFileURL } from 'node:url';

import { build } from 'esbuild';

const [program, ...args] = process.argv.slice(2);
const [packageName, file] = (program ?? '').split('/');
const entryPoint = program?.endsWith('.ts') ? program : `packages/${packageName}/bench/${file}.ts`;
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
