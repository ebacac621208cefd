#!/bin/sh
# A process that is told to stop while a task cannot start, since another process holds its port,
# ends: the message that asks the task to leave is never handled.
set -u

. tests/processes.sh
cf=$1/cyclamenferry
failed=0

await_log() { # FILE TEXT
  for _ in $(seq 300); do
    grep -q "$2" "$1" && return
    sleep 0.1
  done
  echo "FAILED: no '$2' in the log"
  failed=1
}

# Asks PID to stop and waits for its end.
stop() { # PID WHAT
  kill -TERM "$1"
  for _ in $(seq 150); do
    kill -0 "$1" 2>/dev/null || return
    sleep 0.1
  done
  echo "FAILED: $2 still runs 15 s after SIGTERM"
  failed=1
}

# The first of two VMs with the same peer port holds it.
start_balancer() { # NUMBER
  cat > "$work/$1.conf" <<END
[vm]
name=vm-$1
address=127.$net.0.51
failure-domain=a
region=r
fabric-address=127.$net.0.51:$((ports + $1))
ready-address=127.$net.0.51:$((ports + 2 + $1))
metrics-port=0
peer-port=$((ports + 5))
link-mbps=100
[store]
address=127.$net.0.59:1
[limits]
flow-lifetime-s=60
grace-s=6
END
  "$cf" balance --boot "$work/$1.conf" > "$work/$1.log" 2>&1 &
  started=$!
  pids="$pids $started"
}

start_vm() { # NUMBER
  "$cf" serve --name "vm-$1" --failure-domain a --address "127.$net.0.52" \
    --admin-port "$((ports + 6 + $1))" --linger 0 --config-dir "$work/conf" 2> "$work/$1.log" &
  started=$!
  pids="$pids $started"
}

start_balancer 1
await_log "$work/1.log" '"event":"source"'
start_balancer 2
await_log "$work/2.log" 'task feed did not start'
stop "$started" "balance without its feed task"
grep -q 'assertion' "$work/2.log" && { grep 'assertion' "$work/2.log"; failed=1; }

copy_conf examples/scordato "$work/conf"
start_vm 3
await_log "$work/3.log" 'this VM is'
start_vm 4
await_log "$work/4.log" 'task packet did not start'
stop "$started" "serve without its packet task"
exit $failed
