#!/usr/bin/env bash
# Builds the stand-ins and the cases of the third review into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild review/standins-3/case-*.ts review/standins-3/replica-process.ts \
  --bundle --platform=node --target=node20 --format=esm --out-extension:.js=.mjs \
  --outdir=target/review-3 --log-level=warning
