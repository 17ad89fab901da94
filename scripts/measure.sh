#!/usr/bin/env bash
# Runs the seeded benchmarks of the policies and prints their tables. With
# CAPACITY=1 it also measures the resource use of real daemons without requests,
# which takes about eight minutes.
set -u
cd "$(dirname "$0")/.."

# bench PACKAGE PATTERN BENCHTIME: runs the benchmarks that match PATTERN.
bench() {
  echo "== $1 $2"
  go test -run '^$' -bench "$2" -benchtime "$3" -timeout 30m "./internal/$1" || failed=1
}

failed=0
bench ratelimit RateShares 1x
bench admission Overload 1x
bench routing Policies 1x
bench placement PlacementPolicies 1x
bench placement Disaggregation 1x
bench placement PlanTarget 1s
bench gateway AddedLatency 1x
bench config . 1s
bench claims Request 20000x
if [ -n "${CAPACITY:-}" ]; then
  go test -tags measure -count=1 -timeout 30m -v ./test/capacity || failed=1
fi
exit "$failed"
