#!/bin/sh
# Entry VMs of the real program beside entries of another writer in the store: nested deeply, with
# numbers and ports out of range, too long, or no text.  They ended, or stopped following the store.
set -u

. tests/processes.sh
timeout 150 "$1/foreign" "$1/cyclamenferry" "$work" "$net" "$ports"
status=$?
[ "$status" -eq 0 ] || tail -n 5 "$work"/*.log
grep -h '"relay-failed"' "$work"/*.log && { echo "FAILED: a VM could not send its records"; status=1; }
exit $status
