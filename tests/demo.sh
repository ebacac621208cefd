#!/bin/sh
# Starts three entry VMs on loopback with the Vuokravuoka example, drives flows
# during a drain and the replacement of a VM, and prints a report.
set -eu

build=$1
. tests/live_fleet.sh

start_fleet
use_vms 1 2 3
send_command rate 400
sleep 3
set_folder 2 '[upstream lainaamo-3]' 'state = draining'
send_command drain lainaamo-3
sleep 5
# A planned stop: the VM hands its flows over, the fabric stops using it, and it exits with 0.
kill -TERM "$vm2"
sleep 1.5
use_vms 1 3
wait "$vm2"
start_vm 2 b
sleep 2.5
use_vms 1 2 3
sleep 1
set_folder 3 '[upstream lainaamo-3]' 'state = active'
send_command undrain lainaamo-3
sleep 2
"$build/cyclamenferry" status --admin "$(admin_url 1)" | head -8
end_fleet
exit $status
