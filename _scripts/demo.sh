#!/usr/bin/env bash
# Runs the whole path as separate processes on loopback, breaks some of them, and ends each by its id.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly hosts=9 targets=12
readonly ports=$((1 + 3 * hosts + targets))
dir=$(mktemp -d)
declare -A pids=()

cleanup() {
  local code=$? name
  trap - EXIT
  for name in "${!pids[@]}"; do
    kill -KILL "${pids[$name]}" 2>/dev/null || true
    wait "${pids[$name]}" 2>/dev/null || true
  done
  if [ "$code" -ne 0 ]; then
    echo "demo: failed with code $code; the last lines of each log:" >&2
    tail -n 5 "$dir"/*.log >&2 || true
  fi
  rm -rf "$dir"
  exit "$code"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

say() { printf '\n--- %s\n' "$*"; }
die() {
  echo "demo: $*" >&2
  exit 1
}

taken() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# free_base prints the first port of a range that nothing listens in; ranges are tried from a random one on, so that two demos don't meet.
free_base() {
  local base p i from=$((RANDOM % 90))
  for i in $(seq 0 89); do
    base=$((21000 + (from + i) % 90 * 100))
    for p in $(seq "$base" $((base + ports - 1))); do
      if taken "$p"; then continue 2; fi
    done
    echo "$base"
    return
  done
  die "no $ports free ports between 21000 and 30000"
}

start() { # name command...
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids[$name]=$!
}

kill_hard() { # name
  kill -KILL "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || true
  unset "pids[$1]"
}

# stop_all ends all processes of which the name matches, and fails unless each exits with 0.
stop_all() { # pattern
  local name all=()
  for name in "${!pids[@]}"; do
    # shellcheck disable=SC2053
    if [[ $name == $1 ]]; then all+=("$name"); fi
  done
  for name in "${all[@]}"; do kill -TERM "${pids[$name]}"; done
  for name in "${all[@]}"; do
    wait "${pids[$name]}" || die "$name ended with code $?"
    unset "pids[$name]"
  done
  echo "${#all[@]} processes ended with code 0"
}

# await repeats a command until it succeeds and prints what it printed then.
await() { # command...
  local end=$((SECONDS + 40))
  until "$@" >"$dir/await.out" 2>"$dir/await.err"; do
    if [ $SECONDS -ge $end ]; then
      cat "$dir/await.out" "$dir/await.err" >&2
      die "gave up waiting for: $*"
    fi
    sleep 0.1
  done
  cat "$dir/await.out"
}
quietly() { "$@" >/dev/null; }

port=${DEMO_PORT:-$(free_base)}
platform="127.0.0.1:$port"
k=bin/kingcupcross
callers() { echo "127.0.0.1:$((port + 1 + $1 * 3))"; }
admin() { echo "127.0.0.1:$((port + 3 + $1 * 3))"; }
readonly aarhus=0 odense=1 roskilde=2
change() { echo "$1" | sed -n 's/^change \([0-9]*\) accepted.*/\1/p'; }
sees_all() { [ "$($k status --alone --admin "$(admin "$1")" | grep -c ' alive ')" -ge "$hosts" ]; }
in_force() { $k settings wait --admin "$(admin $aarhus)" --timeout 30s "$1" | tail -n +2 | awk '{print $4}' | sort | uniq -c; }

say "1. Starting a platform stand-in, $targets targets with 48 shards (two replicas each) and $hosts hosts in 3 data centres"
bin/standin layout --out "$dir" --port "$port" --targets $targets --hosts $((hosts / 3))
start platform bin/standin platform --settings "$dir/platform.json"
for f in "$dir"/targets/*.json; do start "$(basename "$f" .json)" bin/standin target --settings "$f"; done
for f in "$dir"/hosts/*.json; do start "$(basename "$f" .json)" $k host --settings "$f"; done

say "2. Putting the example settings tree; hosts turn ready once it is in force"
$k settings check _fixtures/saltlade.jsonc
await $k settings put --platform "$platform" --reason "first settings" _fixtures/saltlade.jsonc
for i in $(seq 0 $((hosts - 1))); do quietly await sees_all "$i"; done
echo "hosts by whether change 1 is in force:"
in_force 1

say "3. One query at each data centre: the label says how many of the 48 shards answered, and from which snapshot"
for i in $aarhus $odense $roskilde; do await $k query --host "$(callers $i)" --coverage 1 dispatch "salt at barn 7"; done

say "4. An order, which may run at most once, and the same ticket again at another data centre"
order() { # a refusal that says "not run" may be tried again, with a new ticket
  ticket=$($k tickets --host "$(callers $aarhus)") &&
    $k order --host "$(callers $aarhus)" --ticket "$ticket" dispatch 7 "reserve 3 t" >"$dir/order.out"
}
quietly await order
again=$(await $k order --host "$(callers $odense)" --ticket "$ticket" --repeat dispatch 7 "reserve 3 t")
echo "first:  $(cat "$dir/order.out")"
echo "again:  $again"
[ "$again" = "$(cat "$dir/order.out")" ] || die "the two outcomes differ"

say "5. Killing a host (aarhus-h3) and a target (roskilde-t4) without warning, while queries run"
start load $k load --host "$(callers $odense)" --host "$(callers $roskilde)" --rate 40 --count 200 --drain 20s \
  --coverage 0 --check standin --name demo --save "$dir/run.json" dispatch
quietly await grep -q ' sent' "$dir/load.log"
kill_hard aarhus-h3
kill_hard roskilde-t4
wait "${pids[load]}" || die "the load tool failed"
unset "pids[load]"
sed '/ sent, /d' "$dir/load.log"
grep -q '"lost": 0,' "$dir/run.json" && grep -q '"wrong": 0,' "$dir/run.json" || die "an answer was lost or wrong"

say "6. Taking data centre odense out: a change of the settings"
out=$($k drain --platform "$platform" --reason "floor work" odense)
echo "$out"
in_force "$(change "$out")"
code=0
$k query --host "$(callers $odense)" dispatch x 2>"$dir/out.err" || code=$?
cat "$dir/out.err"
[ "$code" = 6 ] && grep -q ' out: ' "$dir/out.err" || die "odense must refuse with exit code 6, not $code"
echo "(refused, as it must be; the others go on:)"
await $k query --host "$(callers $aarhus)" dispatch "without odense"

say "7. Bringing it back"
out=$($k undrain --platform "$platform" --reason "floor work done" odense)
echo "$out"
in_force "$(change "$out")"
await $k query --host "$(callers $odense)" dispatch "odense again"

say "8. The audit trail"
$k settings history --platform "$platform" --last 2

say "9. Stopping gracefully: hosts finish what they have, then targets and platform"
stop_all '*-h*'
stop_all '*'
say "done in $SECONDS s"
