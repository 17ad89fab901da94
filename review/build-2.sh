#!/usr/bin/env bash
# Builds the stand-ins of the cases of REPORT-2.md into target/review-2/. Run it in the
# repository's root, after the build of deploy/system.toml.
set -eu
for case in review/_src2/case*/; do
  go build -o target/review-2/ "./$case"
done
