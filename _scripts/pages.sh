#!/usr/bin/env bash
# Runs the commands of the pages that are given: every block marked "sh", in order, in one shell that stops at the first failure.
set -euo pipefail
cd "$(dirname "$0")/.."

for page in "${@:-docs/OPERATORS.md}"; do
  echo "== $page"
  script=$(mktemp)
  awk '/^```sh$/ {on = 1; next} /^```/ {on = 0} on' "$page" >"$script"
  code=0
  { echo "PS4='+ \${SECONDS}s '; set -x" | cat - "$script"; } >"$script.traced"
  bash -euo pipefail "$script.traced" || code=$?
  rm -f "$script" "$script.traced"
  if [ "$code" -ne 0 ]; then
    if [ -d run/pids ]; then _scripts/fleet.sh stop run || true; fi
    echo "== $page failed with code $code" >&2
    exit "$code"
  fi
done
