#!/usr/bin/env bash
# Runs the whole path as separate processes on loopback and ends each of them by its id.
set -euo pipefail
cd "$(dirname "$0")/.."

dir=$(mktemp -d)
port=${DEMO_PORT:-21000}
declare -A pids=()

cleanup() {
  local code=$? name
  for name in "${!pids[@]}"; do
    kill -KILL "${pids[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ "$code" -ne 0 ]; then
    echo "demo: failed with code $code; the last lines of each log:" >&2
    tail -n 5 "$dir"/*.log >&2 || true
  fi
  rm -rf "$dir"
  exit "$code"
}
trap cleanup EXIT

start() { # name command...
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids[$name]=$!
}

stop() { # name
  kill -TERM "${pids[$1]}"
  wait "${pids[$1]}"
  unset "pids[$1]"
}

kill_hard() { # name
  kill -KILL "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || true
  unset "pids[$1]"
}

say() { echo "--- $*"; }

host() { # index kind: the address of a host's callers (0) or operators (2)
  echo "127.0.0.1:$((port + 1 + $1 * 3 + $2))"
}

await() { # command...: waits up to 15 s for the command to succeed
  local i
  for i in $(seq 150); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "demo: gave up waiting for: $*" >&2
  return 1
}

ready() { curl -fs "http://$(host "$1" 0)/v1/ready"; }
sees_all() { # index count: the host knows that many hosts
  [ "$(bin/kingcupcross status --admin "$(host "$1" 2)" | grep -c ' alive ')" -ge "$2" ]
}

platform="127.0.0.1:$port"
bin/standin layout --out "$dir" --port "$port"

say "starting the platform, 12 targets and 9 hosts in 3 data centres"
start platform bin/standin platform --settings "$dir/platform.json"
for f in "$dir"/targets/*.json; do
  start "$(basename "$f" .json)" bin/standin target --settings "$f"
done
for f in "$dir"/hosts/*.json; do
  start "$(basename "$f" .json)" bin/kingcupcross host --settings "$f"
done

say "putting the example settings tree"
await bin/kingcupcross settings put --platform "$platform" --reason "first settings" _fixtures/saltlade.jsonc
for i in $(seq 0 8); do await ready "$i"; done
for i in $(seq 0 8); do await sees_all "$i" 9; done

say "a query to each data centre"
for i in 0 1 2; do bin/kingcupcross query --host "$(host $i 0)" --coverage 1 dispatch "salt at barn 7"; done

say "an order, and the same ticket again at another data centre"
ticket=$(bin/kingcupcross tickets --host "$(host 0 0)")
bin/kingcupcross order --host "$(host 0 0)" --ticket "$ticket" dispatch 7 "reserve 3 t"
bin/kingcupcross order --host "$(host 1 0)" --ticket "$ticket" dispatch 7 "reserve 3 t"

say "killing one host and one target while queries run"
(for _ in $(seq 40); do bin/kingcupcross query --host "$(host 1 0)" dispatch "during the failure" >>"$dir/during.log" 2>&1 || echo failed >>"$dir/during.log"; sleep 0.05; done) &
loop=$!
sleep 0.5
kill_hard aarhus-h3
kill_hard roskilde-t4
wait "$loop"
echo "queries: $(grep -c '^service' "$dir/during.log") answered, $(grep -c '^failed' "$dir/during.log" || true) refused; the lowest coverage: $(grep '^service' "$dir/during.log" | sort -t: -k2 -n | head -n 1)"

say "taking data centre odense out"
bin/kingcupcross settings set --platform "$platform" --reason "floor work" saltlade out '["odense"]'
refused() { ! bin/kingcupcross query --host "$(host 1 0)" dispatch x; }
await refused
bin/kingcupcross query --host "$(host 1 0)" dispatch x || echo "refused as it must be"
bin/kingcupcross query --host "$(host 0 0)" dispatch "without odense"

say "bringing it back"
bin/kingcupcross settings set --platform "$platform" --reason "floor work done" saltlade out '[]'
await bin/kingcupcross query --host "$(host 1 0)" dispatch "odense again"
bin/kingcupcross settings history --platform "$platform" | grep -v '^    '

say "stopping the hosts gracefully"
for name in "${!pids[@]}"; do
  case $name in *-h*) kill -TERM "${pids[$name]}" ;; esac
done
for name in "${!pids[@]}"; do
  case $name in *-h*)
    wait "${pids[$name]}"
    unset "pids[$name]"
    ;;
  esac
done
say "done"
