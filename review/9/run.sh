#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -e target/hibiscus-node.mjs ] && [ -e target/review-2/case-9.mjs ] && [ -e target/review-2/engine-text-2.mjs ] || exit 2
exec timeout 115 node target/review-2/case-9.mjs review/9
