#!/bin/sh
# Health endpoints that take calls and never answer have few calls waiting, their
# upstreams are found unreachable, and open flows go on.
set -eu

build=$1
. tests/live_fleet.sh
limit=152 # 8 for each of 19 upstreams

# Prints the probes that wait, of all VMs together.
waiting() {
  for vm in 1 2 3; do
    "$build/cyclamenferry" status --metrics --admin "http://127.0.0.1:608$vm"
  done | awk '/^cyclamenferry_health_probes_waiting/ { sum += $2 } END { print sum }'
}

start_fleet
say vms 127.0.0.11 127.0.0.12 127.0.0.13
say rate 100
sleep 2
say rate 0
for n in $(seq 15); do
  say hush "lainaamo-$n"
done
for n in 1 2 3 4; do
  say hush "tulostamo-$n"
done
most=0
reached=
for _ in $(seq 300); do
  n=$(waiting)
  [ "$n" -gt "$most" ] && most=$n
  "$build/cyclamenferry" status --admin http://127.0.0.1:6081 > "$work/status"
  grep -q '^lainaamo-1 .*unreachable' "$work/status" && reached=yes && break
  sleep 0.1
done
for _ in $(seq 40); do
  n=$(waiting)
  [ "$n" -gt "$most" ] && most=$n
  sleep 0.1
done
end_fleet
echo "probes that wait, at most: $most"
[ "$reached" ] || { echo "FAILED: lainaamo-1 is not unreachable"; cat "$work/status"; status=1; }
[ "$most" -ge 1 ] && [ "$most" -le "$limit" ] || { echo "FAILED: $most probes wait"; status=1; }
exit $status
