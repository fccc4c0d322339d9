#!/usr/bin/env bash
# Plays the case after the build of the deploy file and review/build.sh. TROUBLE=0 leaves the
# disruption out. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/harness ] || { echo "review/build.sh has not run"; exit 2; }
exec review/bin/harness lost review/2
