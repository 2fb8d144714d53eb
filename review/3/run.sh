#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held and 2
# if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
exec review/bin/standin foreign-entry "$folder"
