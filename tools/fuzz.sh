#!/usr/bin/env bash
# Runs every fuzz target for a bounded time. Usage: tools/fuzz.sh [time for each]
set -euo pipefail
cd "$(dirname "$0")/.."
readonly EACH=${1:-3s}
for package in $(go list ./...); do
  for target in $(go test -list '^Fuzz' "$package" | grep '^Fuzz' || true); do
    go test -run '^$' -fuzz "^$target\$" -fuzztime "$EACH" -fuzzminimizetime 1s -parallel 4 "$package"
  done
done
