#!/bin/sh
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
exec target/review-standin evacuated "$folder"
