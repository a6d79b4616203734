#!/usr/bin/env bash
# Bundles the scripts of the cases with their stand-ins into target/review. Needs no network: the
# bundler is a development dependency that the build of the deploy file has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for script in review/[1-5]/run.ts; do
  [ -e "$script" ] || continue
  number=$(basename "$(dirname "$script")")
  node_modules/.bin/esbuild "$script" --bundle --platform=node --target=node20 --format=esm \
    --log-level=warning --outfile="target/review/case-$number.mjs" \
    --banner:js="import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);"
done
