#!/usr/bin/env bash
# Starts and ends stand-ins and hosts on loopback, each a process of its own whose id stands in DIR/pids/NAME.
#   fleet.sh start DIR [flags of standin layout]   write the settings files and start all processes
#   fleet.sh one DIR NAME                          start one process
#   fleet.sh end DIR NAME [SIGNAL]                 end one process, gracefully by default
#   fleet.sh signal DIR NAME SIGNAL                send a signal and go on
#   fleet.sh stop DIR                              end all processes, the hosts first
set -euo pipefail
cd "$(dirname "$0")/.."

one() { # dir name
  local dir=$1 name=$2 program
  if [ "$name" = platform ]; then
    program=(bin/standin platform --settings "$dir/platform.json")
  elif [ -f "$dir/targets/$name.json" ]; then
    program=(bin/standin target --settings "$dir/targets/$name.json")
  else
    program=(bin/kingcupcross host --settings "$dir/hosts/$name.json")
  fi
  nohup "${program[@]}" >>"$dir/logs/$name.log" 2>&1 </dev/null &
  echo $! >"$dir/pids/$name"
}

# runs says whether a process still runs; one that has ended but wasn't reaped yet doesn't.
runs() { # id
  local state
  state=$(ps -o stat= -p "$1") || return 1
  [[ $state != Z* ]]
}

# gone waits until a process has ended.
gone() { # dir name
  local file=$1/pids/$2
  while runs "$(cat "$file")"; do sleep 0.05; done
  rm -f "$file"
}

end() { # dir name [signal]
  kill "-${3:-TERM}" "$(cat "$1/pids/$2")" 2>/dev/null || true
  gone "$1" "$2"
}

start() { # dir flags...
  local dir=$1 f
  shift
  mkdir -p "$dir/pids" "$dir/logs"
  if [ -n "$(ls "$dir/pids")" ]; then
    echo "fleet: $dir runs already: stop it first" >&2
    exit 1
  fi
  rm -rf "$dir/hosts" "$dir/targets"
  bin/standin layout --out "$dir" "$@"
  one "$dir" platform
  for f in "$dir"/targets/*.json "$dir"/hosts/*.json; do one "$dir" "$(basename "$f" .json)"; done
  echo "$(ls "$dir/pids" | wc -l) processes started"
}

stop() { # dir
  local dir=$1 f name kind
  local -a some
  for kind in hosts/*.json targets/*.json platform.json; do
    some=()
    for f in "$dir"/$kind; do
      name=$(basename "$f" .json)
      if [ -f "$dir/pids/$name" ]; then some+=("$name"); fi
    done
    for name in "${some[@]}"; do kill -TERM "$(cat "$dir/pids/$name")" 2>/dev/null || true; done
    for name in "${some[@]}"; do gone "$dir" "$name"; done
  done
  echo "all processes ended"
}

command=$1
shift
case $command in
  start | one | end | stop) "$command" "$@" ;;
  signal) kill "-$3" "$(cat "$1/pids/$2")" ;;
  *)
    sed -n '2,7p' "$0" >&2
    exit 2
    ;;
esac
