#!/usr/bin/env bash
# Plays the case; needs the build of the deploy file and review/build.sh. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
test -x target/endiverill -a -x target/review/standin || { echo "build first: the build line of deploy/system.toml, then review/build.sh"; exit 2; }
timeout --kill-after=5 110 target/review/standin poison "$folder"
code=$?
test "$code" -le 2 || code=2
exit "$code"
