#!/usr/bin/env bash
# Checks every model and every variant with Spin. A model must have no error; a
# variant, which lacks one rule, must have one. Prints the number of states, the
# errors and the verdict of each.
set -euo pipefail
cd "$(dirname "$0")"
readonly MEMORY_LIMIT_KB=4000000
readonly SECONDS_PER_STEP=300
build=$(mktemp -d)
trap 'rm -rf "$build"' EXIT
ulimit -v "$MEMORY_LIMIT_KB"
failed=0

# check MODEL EXPECTED_ERRORS [RULE]: EXPECTED_ERRORS is 0 or 1.
check() {
  local model=$1 expected=$2 rule=${3:-}
  local folder="$build/$model$rule"
  mkdir "$folder"
  cp "$model.pml" "$folder/"
  (
    cd "$folder"
    timeout "$SECONDS_PER_STEP" spin ${rule:+-D$rule} -a "$model.pml" >spin.log
    timeout "$SECONDS_PER_STEP" gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=2000 -o pan pan.c
    timeout "$SECONDS_PER_STEP" ./pan -m2000000 >pan.log 2>&1 || true
  )
  local errors states
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$folder/pan.log")
  states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$folder/pan.log")
  local verdict=ok
  if [ "$errors" != "$expected" ]; then verdict=WRONG; fi
  # An incomplete search does not prove that a model has no errors.
  if [ "$expected" = 0 ] && grep -qE 'max search depth too small|Search not completed|out of memory' "$folder/pan.log"; then
    verdict=INCOMPLETE
  fi
  printf '%-14s %-20s %10s states  %s error(s), expected %s: %s\n' \
    "$model" "${rule:-complete}" "${states:-?}" "${errors:-?}" "$expected" "$verdict"
  if [ "$verdict" != ok ]; then
    tail -5 "$folder/pan.log"
    failed=1
  fi
}

check ownership 0
check ownership 1 NO_ISN_RULE
check ownership 1 NO_SERVICE_CHECK
check ownership 1 RESET_UNKNOWN
check bundle_order 0
check bundle_order 1 LAST_ANSWER_WINS
check bundle_order 1 NO_TIE_BREAK
exit "$failed"
