#!/bin/sh
# Starts three entry VMs on loopback with the Vuokravuoka example, drives flows
# during a drain and the replacement of a VM, and prints a report.
set -eu

build=$1
work=$(mktemp -d)
pids=
export CYCLAMENFERRY_FLEET_KEY=00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff

stop_all() {
  for pid in $pids; do
    kill "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop_all EXIT

start_vm() { # NUMBER DOMAIN
  "$build/cyclamenferry" serve --name "entry-$1" --failure-domain "fi-south-$2" \
    --address "127.0.0.1$1" --admin-port "608$1" --linger 1 \
    --config-dir "$work/conf" 2>>"$work/log" &
  eval "vm$1=$!"
  pids="$pids $!"
}

set_folder() { # VERSION LINES...
  {
    printf '[fleet]\nversion = %s\n' "$1"
    shift
    printf '%s\n' "$@"
  } > "$work/90.conf"
  mv "$work/90.conf" "$work/conf/90-operator.conf"
}

cp -r examples/vuokravuoka "$work/conf"
mkfifo "$work/commands"
start_vm 1 a
start_vm 2 b
start_vm 3 c
"$build/live" "$work/conf" < "$work/commands" &
live=$!
exec 3> "$work/commands"

sleep 2.5
echo "vms 127.0.0.11 127.0.0.12 127.0.0.13" >&3
echo "rate 400" >&3
sleep 3
set_folder 2 '[upstream lainaamo-3]' 'state = draining'
echo "drain lainaamo-3" >&3
sleep 5
# A planned stop: the VM hands over, the fabric leaves it, it exits with 0.
kill -TERM "$vm2"
sleep 1.5
echo "vms 127.0.0.11 127.0.0.13" >&3
wait "$vm2"
start_vm 2 b
sleep 2.5
echo "vms 127.0.0.11 127.0.0.12 127.0.0.13" >&3
sleep 1
set_folder 3 '[upstream lainaamo-3]' 'state = active'
echo "undrain lainaamo-3" >&3
sleep 2
"$build/cyclamenferry" status --admin http://127.0.0.1:6081 | head -8
echo "quit" >&3
exec 3>&-
status=0
wait "$live" || status=$?
for pid in "$vm1" "$vm2" "$vm3"; do
  kill -TERM "$pid"
done
for pid in "$vm1" "$vm2" "$vm3"; do
  wait "$pid" || { echo "an entry VM exited with $?"; status=1; }
done
exit $status
