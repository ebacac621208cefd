# A folder for a script's files and the processes that it ends with itself.  A script
# adds the pids of what it starts to $pids.  Each script has a fleet key of its own, so
# that its VMs take no VM of another script for a member.

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
# A shell that a signal ends does not run the EXIT trap by itself.
trap 'echo "FAILED: a stand-in ended early"; exit 1' PIPE
trap 'exit 1' HUP INT TERM
