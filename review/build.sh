#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/.
set -eu
cd "$(dirname "$0")/.."
for name in restored backoff lateorder resume slashes; do
	go build -o target/review/ "./review/_src/$name"
done
