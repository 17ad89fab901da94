#!/usr/bin/env bash
# Runs real processes under load with random faults: soak.sh SEED DURATION.
# The seed fixes the faults and the load; their timing is the machine's.
set -eu
cd "$(dirname "$0")/.."
exec go test -tags soak -count=1 -timeout 24h ./test/soak -v -ginkgo.timeout 24h -soak.seed "${1:-1}" -soak.duration "${2:-10m}"
