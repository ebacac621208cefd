#!/bin/bash
# A process that is started with standard output closed writes no log line into a descriptor that
# something else got in its place.
set -u

. tests/processes.sh
cf=$1/cyclamenferry
address=127.$net.0.51
cat > "$work/conf" <<END
[vm]
name=vm-1
address=$address
failure-domain=a
region=r
fabric-address=$address:$ports
ready-address=$address:$((ports + 1))
metrics-port=0
peer-port=$((ports + 2))
link-mbps=100
[store]
address=127.$net.0.59:1
[limits]
flow-lifetime-s=60
grace-s=6
END
"$cf" balance --boot "$work/conf" <&- >&- 2>&- &
pid=$!
pids="$pids $pid"
for _ in $(seq 100); do
  [ "$(ls "/proc/$pid/fd" | wc -l)" -gt 8 ] && break
  sleep 0.1
done
for fd in 1 2; do
  target=$(readlink "/proc/$pid/fd/$fd") || continue
  case $target in
    /dev/null) ;;
    *) echo "FAILED: descriptor $fd is $target"; failed=1 ;;
  esac
done
exit "${failed:-0}"
