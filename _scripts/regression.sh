#!/usr/bin/env bash
# Plays the regression runs on the users' bench and prints one table: a line for each site with its score, its gate and the mean worth of the standard days with trouble.
# Usage: regression.sh BENCH SITES [JOBS], with the bench's program and the folder of the site files.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 2 ]; then
  echo "usage: $0 BENCH SITES [JOBS]" >&2
  exit 2
fi
bench=$1 sites=$2 jobs=${3:-4}

printf '%-24s %6s %-12s %s\n' site score gate worth
for site in large/saltlade-soeg-large further-grown/acm-arch-grown grown/saltlade-soeg-grown grown/kormsu-search-grown further/acm-arch; do
  out=$("$bench" score "$sites/$site.toml" --jobs "$jobs" --why "regression run" 2>&1) || true
  awk -v site="$(basename "$site")" '
    /^score on the standard days/ {score = $NF; for (i = 1; i <= NF; i++) if ($i ~ /:$/) {score = $(i + 1); sub(/,$/, "", score)}}
    /^(trouble|scale)-/ {sum += $4; n++}
    /^GATE/ {gate = $2}
    END {if (gate == "") gate = "not played"; printf "%-24s %6s %-12s %s\n", site, score, gate, n ? sprintf("%.3f", sum / n) : "-"}
  ' <<<"$out"
done
