# Creates a folder for a script's files and, when the script exits, removes it and kills the
# processes whose pids the script added to $pids.  Each script has its own fleet key, so that its
# VMs reject messages of VMs that another script started.

work=$(mktemp -d)
pids=
CYCLAMENFERRY_FLEET_KEY=$(printf '%064d' $$)
export CYCLAMENFERRY_FLEET_KEY

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
