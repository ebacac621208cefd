#!/bin/sh
# A folder with faults is not used, and a task whose port is taken starts later.
set -u

. tests/processes.sh
cf=$1/cyclamenferry
failed=0

start_vm() { # NAME ADMIN_PORT
  "$cf" serve --name "$1" --failure-domain palermo --address "127.$net.0.41" --admin-port "$2" \
    --linger 0 --config-dir "$work/conf" 2>>"$work/log" &
  started=$!
  pids="$pids $started"
}

# Waits for TEXT in the first line of the status at ADMIN_PORT.
await() { # ADMIN_PORT TEXT
  for _ in $(seq 300); do
    "$cf" status --admin "http://127.0.0.1:$1" 2>/dev/null | head -1 | grep -q "$2" && return
    sleep 0.1
  done
  echo "FAILED: no '$2' at $1"
  failed=1
}

await_log() { # TEXT
  for _ in $(seq 300); do
    grep -q "$1" "$work/log" && return
    sleep 0.1
  done
  echo "FAILED: no '$1' in the log"
  failed=1
}

copy_conf examples/scordato "$work/conf"
start_vm first "$((ports + 1))"
first=$started
await "$((ports + 1))" "state serving, configuration version 1"
printf '[upstream prenota-1]\nweight=none\n' > "$work/conf/90.conf"
kill -HUP "$first"
await_log "90.conf:2: \[upstream prenota-1\] weight: 'none' is not a whole number"
await "$((ports + 1))" "configuration version 1"
printf '[upstream prenota-1]\nweight=50\n' > "$work/conf/90.conf"
await_log "version 1 is not above the version in force"
printf '[fleet]\nversion=2\n[upstream prenota-1]\nweight=50\n' > "$work/conf/90.conf"
kill -HUP "$first"
await "$((ports + 1))" "configuration version 2"
# The second process finds the ports taken until the first one has exited.
start_vm second "$((ports + 2))"
await_log "task packet did not start"
kill -TERM "$first"
wait "$first" || { echo "FAILED: the first VM exited with $?"; failed=1; }
await "$((ports + 2))" "state serving, configuration version 2"
kill -TERM "$started"
wait "$started" || { echo "FAILED: the second VM exited with $?"; failed=1; }
[ "$failed" -eq 0 ] || cat "$work/log"
exit $failed
