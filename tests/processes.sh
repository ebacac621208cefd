# Creates a folder for a script's files and, when the script exits, removes it and kills the
# processes whose pids the script added to $pids.  Each script has its own fleet key, so that its
# VMs reject messages of VMs that another script started.
#
# Several scripts, also of several runs, may be in progress at once.  Each has the loopback network
# 127.$net.0.0/16 and the 20 ports from $ports on to itself: it holds a lock, which ends with the
# script and the processes that it started.

work=$(mktemp -d)
pids=
CYCLAMENFERRY_FLEET_KEY=$(printf '%064d' $$)
export CYCLAMENFERRY_FLEET_KEY

claim_network() {
  locks=${TMPDIR:-/tmp}/cyclamenferry-test-networks
  mkdir -p "$locks"
  # Below the kernel's ephemeral ports, and above 127.4, which the soak test uses.
  net=10
  while [ "$net" -lt 110 ]; do
    exec 9> "$locks/$net"
    flock -n 9 && break
    net=$((net + 1))
  done
  [ "$net" -lt 110 ] || { echo "FAILED: no free network"; exit 1; }
  ports=$((10000 + net * 20))
}
claim_network

# Copies the configuration FROM to the new folder TO, with the script's network.
copy_conf() { # FROM TO
  cp -r "$1" "$2"
  sed -i "s/127\.0\./127.$net./" "$2"/*.conf
}

stop_all() {
  for pid in $pids; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -9 "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop_all EXIT
# A shell does not run the EXIT trap when a signal ends it.
trap 'echo "FAILED: a simulator process exited early"; exit 1' PIPE
trap 'exit 1' HUP INT TERM
