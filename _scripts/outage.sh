#!/usr/bin/env bash
# Measures queries between processes on loopback: without a fault, with the platform down, with a host killed and one frozen.
set -euo pipefail
cd "$(dirname "$0")/.."

dir=$(mktemp -d)
trap '_scripts/fleet.sh stop "$dir" >/dev/null 2>&1 || true; rm -rf "$dir"' EXIT

platform=127.0.0.1:21000
hosts=127.0.0.1:21001,127.0.0.1:21004,127.0.0.1:21007

run() { # name
  echo "--- $1"
  bin/kingcupcross load --host "$hosts" --rate 60 --count 900 --time 20s --seed 1 --coverage 0 --check standin \
    --name "$1" --save "$dir/$1.json" --quiet dispatch
}

_scripts/fleet.sh start "$dir" --targets 48 --shards 96
until bin/kingcupcross settings put --platform "$platform" --reason "first settings" _fixtures/saltlade.jsonc; do sleep 0.2; done
bin/kingcupcross settings wait 1 --platform "$platform" --admin 127.0.0.1:21003 --hosts 9 --timeout 30s >/dev/null
until bin/kingcupcross query --host 127.0.0.1:21001 --coverage 1 dispatch ready >/dev/null; do sleep 0.2; done
run warmup >/dev/null

run none
curl -fs "http://$platform/v1/faults" -d '{"down": true}'
run platform-down
(sleep 5 && _scripts/fleet.sh end "$dir" aarhus-h3 KILL) &
run platform-down-and-host-killed
wait
curl -fs "http://$platform/v1/faults" -d '{}'
(sleep 3 && _scripts/fleet.sh signal "$dir" odense-h3 STOP && sleep 6 && _scripts/fleet.sh signal "$dir" odense-h3 CONT) &
run host-frozen-for-6s
wait
