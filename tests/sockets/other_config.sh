#!/bin/sh
# An entry beside "main" of the kind that holds the manifest, of another writer, keeps no VM from
# starting and takes no route away: with an odd one none became ready.
set -u

. tests/processes.sh
status=0
for content in '{"hello":1}' '{"version":9,"routes":[],"services":[]}'; do
  timeout 150 "$1/foreign" "$1/cyclamenferry" "$work" "$net" "$ports" "$content" || status=1
done
exit "$status"
