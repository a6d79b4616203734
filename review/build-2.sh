#!/usr/bin/env bash
# Bundles the scripts of cases 6 to 10 with their stand-ins, and the stand-in that runs as a process
# of its own, into target/review-2. Needs no network: the bundler is a development dependency that the
# build of the deploy file has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
bundle() {
  node_modules/.bin/esbuild "$1" --bundle --platform=node --target=node20 --format=esm \
    --log-level=warning --outfile="target/review-2/$2.mjs"
}
for number in 6 7 8 9 10; do
  bundle "review/$number/run.ts" "case-$number"
done
bundle review/engine-text-2.ts engine-text-2
