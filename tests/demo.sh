#!/bin/sh
# Starts three entry VMs on loopback with the Vuokravuoka example, drives flows
# during a drain and the replacement of a VM, and prints a report.
set -eu

build=$1
. tests/live_fleet.sh

start_fleet
say vms 127.0.0.11 127.0.0.12 127.0.0.13
say rate 400
sleep 3
set_folder 2 '[upstream lainaamo-3]' 'state = draining'
say drain lainaamo-3
sleep 5
# A planned stop: the VM hands over, the fabric leaves it, it exits with 0.
kill -TERM "$vm2"
sleep 1.5
say vms 127.0.0.11 127.0.0.13
wait "$vm2"
start_vm 2 b
sleep 2.5
say vms 127.0.0.11 127.0.0.12 127.0.0.13
sleep 1
set_folder 3 '[upstream lainaamo-3]' 'state = active'
say undrain lainaamo-3
sleep 2
"$build/cyclamenferry" status --admin http://127.0.0.1:6081 | head -8
end_fleet
exit $status
