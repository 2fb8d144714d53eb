#!/usr/bin/env bash
# Runs every fuzz test for a limited time. Usage: tools/fuzz.sh [time per test]
set -euo pipefail
cd "$(dirname "$0")/.."
readonly FUZZ_TIME=${1:-3s}
for package in $(go list ./...); do
  for target in $(go test -list '^Fuzz' "$package" | grep '^Fuzz' || true); do
    go test -run '^$' -fuzz "^$target\$" -fuzztime "$FUZZ_TIME" -fuzzminimizetime 1s -parallel 4 "$package"
  done
done
