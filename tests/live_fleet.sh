# Functions for scripts that drive entry VMs on loopback with tests/live.c.  To be
# sourced with $build set to the build folder.

. tests/processes.sh

start_vm() { # NUMBER DOMAIN
  "$build/cyclamenferry" serve --name "entry-$1" --failure-domain "fi-south-$2" \
    --address "127.$net.0.1$1" --admin-port "$((ports + $1))" --linger 1 \
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

# Starts three VMs and the simulator, which reads its commands from file descriptor 3.
start_fleet() {
  copy_conf examples/vuokravuoka "$work/conf"
  mkfifo "$work/commands"
  start_vm 1 a
  start_vm 2 b
  start_vm 3 c
  "$build/live" "$work/conf" < "$work/commands" &
  live=$!
  pids="$pids $live"
  exec 3> "$work/commands"
  sleep 2.5
}

send_command() {
  echo "$*" >&3
}

# Tells the simulator that the fabric uses the VMs with these numbers from now on.
use_vms() { # NUMBER...
  addresses=
  for number in "$@"; do
    addresses="$addresses 127.$net.0.1$number"
  done
  send_command "vms$addresses"
}

# Prints the URL of a VM's admin interface.
admin_url() { # NUMBER
  echo "http://127.0.0.1:$((ports + $1))"
}

# Ends the traffic and the VMs; sets status to 1 if a flow was broken.
end_fleet() {
  send_command quit
  exec 3>&-
  status=0
  wait "$live" || status=$?
  for pid in "$vm1" "$vm2" "$vm3"; do
    kill -TERM "$pid"
  done
  for pid in "$vm1" "$vm2" "$vm3"; do
    wait "$pid" || { echo "an entry VM exited with $?"; status=1; }
  done
}
