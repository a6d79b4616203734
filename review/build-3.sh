#!/usr/bin/env bash
# Builds the stand-ins and the cases of the third review into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
bundle() {
  node_modules/.bin/esbuild "$1" --bundle --platform=node --target=node20 --format=esm \
    --log-level=warning --outfile="target/review-3/$2.mjs"
}
for number in 11 12 13 14 15; do
  bundle "review/$number/run.ts" "case-$number"
done
bundle review/replica-process-3.ts replica-process-3
