#!/usr/bin/env bash
# Runs the case in the repository's root, after review/build-2.sh. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case7
[ -x "$program" ] && [ -x target/bilberryslip-edge ] || { echo "build first: the deploy file, then review/build-2.sh"; exit 2; }
exec "$program" review/7/record.txt
