#!/usr/bin/env bash
# Checks each specification of spec/ with spin; a name.broken.sh list of guards taken out must fail.
set -euo pipefail
cd "$(dirname "$0")/.."

if ! command -v spin >/dev/null || ! command -v gcc >/dev/null; then
  apt-get update -qq
  apt-get install -y -qq spin gcc libc6-dev
fi

dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

# check FILE EXPECTED DEFINES...: verifies a model and compares its verdict with the expected one.
check() {
  local file=$1 expected=$2 verdict
  shift 2
  (cd "$dir" && rm -f pan* && spin -a "$@" "$file" >/dev/null && gcc -O2 -w -DSAFETY -o pan pan.c)
  if (cd "$dir" && ./pan -m1000000 -w24) >"$dir/out" 2>&1 && grep -q 'errors: 0' "$dir/out" && ! grep -q 'max search depth too small' "$dir/out"; then
    verdict=holds
  elif grep -q 'errors: 1' "$dir/out"; then
    verdict=fails
  else
    cat "$dir/out"
    echo "model $(basename "$file") $*: could not be checked" >&2
    return 1
  fi
  echo "model $(basename "$file") $*: $verdict ($(grep 'states, stored' "$dir/out" | awk '{print $1}') states)"
  [ "$verdict" = "$expected" ] || {
    cat "$dir/out"
    echo "model $(basename "$file") $*: expected that it $expected" >&2
    return 1
  }
}

count=0
for file in "$PWD"/spec/*.pml; do
  [ -e "$file" ] || continue
  check "$file" holds
  count=$((count + 1))
  # Each line "// guard: NAME" of a model names a guard that -DNO_NAME takes out; the model must then fail.
  while read -r guard; do
    check "$file" fails "-DNO_$guard"
    count=$((count + 1))
  done < <(sed -n 's|^// guard: \([A-Z_]*\)$|\1|p; s|^/\* guard: \([A-Z_]*\) \*/$|\1|p' "$file")
done
echo "$count model checks"
