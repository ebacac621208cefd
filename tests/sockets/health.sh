#!/bin/sh
# Health endpoints that accept requests and never respond: the number of pending probes stays
# bounded, their upstreams become unreachable, and open flows continue.
set -eu

build=$1
. tests/live_fleet.sh
limit=152 # 8 for each of 19 upstreams

# Prints the number of pending probes, summed over all VMs.
count_pending_probes() {
  for vm in 1 2 3; do
    "$build/cyclamenferry" status --metrics --admin "$(admin_url "$vm")"
  done | awk '/^cyclamenferry_health_probes_waiting/ { sum += $2 } END { print sum }'
}

start_fleet
use_vms 1 2 3
send_command rate 100
sleep 2
send_command rate 0
for n in $(seq 15); do
  send_command hush "lainaamo-$n"
done
for n in 1 2 3 4; do
  send_command hush "tulostamo-$n"
done
most=0
reached=
for _ in $(seq 300); do
  n=$(count_pending_probes)
  [ "$n" -gt "$most" ] && most=$n
  "$build/cyclamenferry" status --admin "$(admin_url 1)" > "$work/status"
  grep -q '^lainaamo-1 .*unreachable' "$work/status" && reached=yes && break
  sleep 0.1
done
for _ in $(seq 40); do
  n=$(count_pending_probes)
  [ "$n" -gt "$most" ] && most=$n
  sleep 0.1
done
end_fleet
echo "pending probes, at most: $most"
[ "$reached" ] || { echo "FAILED: lainaamo-1 did not become unreachable"; cat "$work/status"; status=1; }
[ "$most" -ge 1 ] && [ "$most" -le "$limit" ] || { echo "FAILED: $most pending probes"; status=1; }
exit $status
