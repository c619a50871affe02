#!/usr/bin/env bash
# Run a gooseberry-lab command against a deployment of separate processes on loopback.
# Usage: bench/processes.sh COMMAND [ARG ...], for example:
#   bench/processes.sh overhead --json
# Set KEEP_LOGS=1 to keep the folder with settings and logs.
set -u +m
cd "$(dirname "$0")/.."
bin=.venv/bin
folder=$(mktemp -d)
mkdir -p "$folder/pids" "$folder/logs"
loops=()

keep_running() { # NAME PROGRAM: restart a process whenever it exits, as a host does
  while [ ! -e "$folder/ended" ]; do
    "$bin/$2" "$folder/$1.json" 2>>"$folder/logs/$1" &
    echo $! >"$folder/pids/$1"
    wait $! 2>/dev/null
    sleep 0.5
  done
}

finish() {
  touch "$folder/ended"
  for file in "$folder"/pids/*; do
    kill -CONT "$(cat "$file")" 2>/dev/null
    kill -TERM "$(cat "$file")" 2>/dev/null
  done
  sleep 2
  for file in "$folder"/pids/*; do
    kill -KILL "$(cat "$file")" 2>/dev/null
  done
  wait 2>/dev/null
  [ "${KEEP_LOGS:-0}" = 1 ] && echo "logs: $folder" >&2 || rm -rf "$folder"
}
trap finish EXIT 2>/dev/null

"$bin/gooseberry-lab" stand-ins "$folder" 2>"$folder/logs/stand-ins" &
echo $! >"$folder/pids/stand-ins"
for _ in $(seq 100); do
  [ -e "$folder/deployment.json" ] && break
  sleep 0.1
done
for file in "$folder"/keeper-*.json; do
  keep_running "$(basename "$file" .json)" gooseberry-keeper &
  loops+=($!)
done
for file in "$folder"/entry-*.json; do
  keep_running "$(basename "$file" .json)" gooseberry-entry &
  loops+=($!)
done
command=$1
shift
"$bin/gooseberry-lab" "$command" "$folder" "$@"
