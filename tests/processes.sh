# A folder for a script's files and the processes that it ends with itself.  A script
# adds the pids of what it starts to $pids.

work=$(mktemp -d)
pids=
export CYCLAMENFERRY_FLEET_KEY=00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff

stop_all() {
  for pid in $pids; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -9 "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop_all EXIT
