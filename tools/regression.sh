#!/usr/bin/env bash
# Scores deployments on the users' bench and prints one line of result for each.
# Usage: tools/regression.sh BENCH SITE...
# BENCH is the path of fleetbench. JOBS sets the number of days played at once (2),
# SWEEP=1 also plays the sweep of each site. Exits with 1 when a gate is not passed.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 2 ]; then
  sed -n '2,5s/^# //p' "$0" >&2
  exit 2
fi
bench=$1
shift
log=$(mktemp)
trap 'rm -f "$log"' EXIT
failed=0
for site in "$@"; do
  name=$(basename "$site" .toml)
  "$bench" score "$site" --jobs "${JOBS:-2}" --why "Regression run" >"$log" 2>&1 || failed=1
  grep -q '^GATE passed' "$log" || failed=1
  worth=$(awk '/^(trouble|scale)-[0-9]+ / && $2 ~ "/" {sum += $4; n++} END {if (n) printf "%.3f", sum / n}' "$log")
  echo "$name: mean worth of days with trouble ${worth:-none}, $(grep '^GATE' "$log" || echo 'no gate')"
  if [ "${SWEEP:-0}" = 1 ]; then
    if ! "$bench" sweep "$site" --why "Regression run" >"$log" 2>&1; then
      failed=1
      echo "$name: sweep failed"
    fi
    grep -i 'served' "$log" | head -3
  fi
done
exit "$failed"
