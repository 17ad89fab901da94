#!/usr/bin/env bash
# Runs all tests and prints the failed ones and a summary. Fails unless all failures
# are listed in KNOWN-RED.txt.
set -u
cd "$(dirname "$0")/.."
report=$(mktemp)
trap 'rm -f "$report"' EXIT
go test -C tools ./testreport || exit 1
go build -C tools -o "$report" ./testreport || exit 1
GINKGO_NO_COLOR=true go test -json -count=1 -timeout 20m ./... 2>&1 | "$report"
exit "${PIPESTATUS[1]}"
