#!/bin/sh
# Flows through real processes survive an entry VM that is killed and one that is
# paused with SIGSTOP, while upstreams drain.
set -eu

build=$1
. tests/live_fleet.sh

start_fleet
use_vms 1 2 3
send_command rate 300
sleep 2
set_folder 2 '[upstream lainaamo-3]' 'state = draining' '[upstream tulostamo-1]' 'state = draining'
sleep 5
kill -9 "$vm2"
use_vms 1 3
wait "$vm2" || true
sleep 4
start_vm 2 b
sleep 4
use_vms 1 2 3
sleep 1
kill -STOP "$vm3"
use_vms 1 2
sleep 4
kill -CONT "$vm3"
sleep 4
use_vms 1 2 3
sleep 2
for vm in 1 2 3; do
  "$build/cyclamenferry" status --json --admin "$(admin_url "$vm")" | grep -o '"pauses":[0-9]*'
done
end_fleet
cat "$work/log"
exit $status
