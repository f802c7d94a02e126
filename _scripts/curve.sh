#!/usr/bin/env bash
# Plays the load curve on the users' bench: bursts of several times the load without any other trouble, and prints a line a play.
# Usage: curve.sh BENCH SITE WHY [TIMES...]
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 3 ]; then
  echo "usage: $0 BENCH SITE WHY [TIMES...]" >&2
  exit 2
fi
bench=$1 site=$2 why=$3
shift 3
[ $# -gt 0 ] || set -- 1 1.5 2 3 4 6

day=$(mktemp --suffix .toml)
trap 'rm -f "$day"' EXIT
printf '%-24s %5s %6s %6s %8s %7s %s\n' site times worth served refused failed 'parts left out'
for times in "$@"; do
  printf 'name = "burst"\nseed = 1\nfaults = [\n  { at = 6.0, kind = "burst", x = %.1f, for_s = 14.0 },\n]\n' "$times" >"$day"
  "$bench" run "$site" "$day" --seed 1 --no-cpu --why "$why, $times times the load" 2>&1 | awk -v site="$(basename "$site" .toml)" -v times="$times" '
    /^burst/ {worth = $4; served = $5; refused = $6; failed = $7}
    /gathered answers left parts out/ {parts = $2 " of " $4}
    END {printf "%-24s %5s %6s %6s %8s %7s %s\n", site, times, worth, served, refused, failed, parts}
  '
done
