#!/usr/bin/env bash
# Runs each fuzz target for DURATION, by default 60s: fuzz.sh [DURATION].
set -eu
cd "$(dirname "$0")/.."
duration=${1:-60s}
grep -rlE '^func Fuzz' --include='*_test.go' internal platform | xargs -n1 dirname | sort -u | while read -r package; do
  go test -list '^Fuzz' "./$package" | grep '^Fuzz' | while read -r target; do
    echo "== $package $target"
    go test -run '^$' -fuzz "^$target\$" -fuzztime "$duration" "./$package"
  done
done
