#!/usr/bin/env bash
# Runs real processes under load with random faults: soak.sh [SEED] [DURATION].
# SEED determines the choice of faults and requests, but not their exact timing.
set -eu
cd "$(dirname "$0")/.."
exec go test -tags soak -count=1 -timeout 24h ./test/soak -v -ginkgo.timeout 24h -soak.seed "${1:-1}" -soak.duration "${2:-10m}"
