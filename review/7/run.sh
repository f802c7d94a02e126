#!/bin/sh
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/kingcupcross ] && [ -x target/review-2/fleet2 ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
exec target/review-2/fleet2 denied target/kingcupcross review/7
