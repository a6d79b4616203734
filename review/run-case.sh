#!/usr/bin/env bash
# Runs the case of a folder; the run.sh of each folder calls it. Exits with 1 if the rule was
# broken, with 0 if it held and with 2 if the case couldn't run.
set -u
folder=$(cd "$(dirname "$1")" && pwd)
cd "$folder/../.." || exit 2
node "target/review/case-$(basename "$folder").mjs" "review/$(basename "$folder")/record.txt"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
