#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review. It needs the modules that the
# build of the deploy file needs, and no others.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2 ./review/standin-2
