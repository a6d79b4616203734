#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the scripts of the second review into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --silent --no-audit --no-fund
for entry in review/stand-ins-2/case-*.ts review/stand-ins-2/engine-*.ts; do
  [ -e "$entry" ] || continue
  node_modules/.bin/esbuild "$entry" --bundle --platform=node --target=node20 --format=esm --log-level=warning \
    --outfile="target/review-2/$(basename "$entry" .ts).mjs"
done
