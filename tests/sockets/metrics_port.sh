#!/bin/bash
# A metrics port that another process holds does not keep a VM from the rotation: readiness is
# served without it.
set -u

. tests/processes.sh
cf=$1/cyclamenferry
address=127.$net.0.51

# All VMs have the same metrics port.
start_balancer() { # NUMBER
  cat > "$work/$1.conf" <<END
[vm]
name=vm-$1
address=$address
failure-domain=a
region=r
fabric-address=$address:$((ports + $1))
ready-address=$address:$((ports + 2 + $1))
metrics-port=$((ports + 6))
peer-port=$((ports + 7 + $1))
link-mbps=100
[store]
address=127.$net.0.59:1
[limits]
flow-lifetime-s=60
grace-s=6
END
  "$cf" balance --boot "$work/$1.conf" > "$work/$1.log" 2>&1 &
  pids="$pids $!"
}

answers() { # PORT
  timeout 5 bash -c "exec 5<>/dev/tcp/$address/$1 && printf 'GET / HTTP/1.0\r\n\r\n' >&5 \
    && grep -q '^HTTP' <&5" 2> /dev/null
}

await_answer() { # PORT WHAT
  for _ in $(seq 100); do
    answers "$1" && return
    sleep 0.1
  done
  echo "FAILED: $2 did not answer within 10 s"
  grep -h '"fault"' "$work"/*.log
  exit 1
}

start_balancer 1
await_answer $((ports + 6)) "the metrics port of the first VM"
start_balancer 2
await_answer $((ports + 4)) "the ready port of the second VM"
