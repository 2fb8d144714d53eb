#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/standin ./review/standin
