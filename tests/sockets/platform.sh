#!/bin/sh
# Entry VMs that take their configuration from a platform with outages.
set -u

. tests/processes.sh
cf=$1/cyclamenferry
failed=0
export CYCLAMENFERRY_PLATFORM=http://127.0.0.1:$ports

start_vm() { # NUMBER DOMAIN
  "$cf" serve --name "ingresso-$1" --failure-domain "$2" --address "127.$net.0.3$1" \
    --admin-port "$((ports + $1))" --linger 0 >>"$work/log" 2>&1 &
  eval "vm$1=$!"
  pids="$pids $!"
}

# Waits until every VM has the version in force, long enough for a slow machine.
await_version() { # VERSION VM...
  expected=$1
  shift
  for vm in "$@"; do
    for _ in $(seq 300); do
      "$cf" status --admin "http://127.0.0.1:$((ports + vm))" 2>/dev/null \
        | grep -q "state serving, configuration version $expected," && break
      sleep 0.1
    done
    "$cf" status --admin "http://127.0.0.1:$((ports + vm))" 2>&1 | head -1 \
      | grep -q "configuration version $expected," || {
      echo "FAILED: VM $vm does not have version $expected"
      "$cf" status --admin "http://127.0.0.1:$((ports + vm))" 2>&1 | head -9
      failed=1
    }
  done
}

# Expects COMMAND to put a version in force that is above the last one, which is $version then.
expect_change() { # COMMAND...
  last=$version
  expect 0 "$@"
  version=$(echo "$output" | sed -n 's/.*version \([0-9]*\) is accepted$/\1/p')
  [ "${version:-0}" -gt "$last" ] || { echo "FAILED: version $version after $last"; failed=1; }
}

await_messages() { # TEXT COUNT
  for _ in $(seq 300); do
    [ "$(grep -c "$1" "$work/log")" -ge "$2" ] && return
    sleep 0.1
  done
  echo "FAILED: fewer than $2 times: $1"
  failed=1
}

expect() { # STATUS COMMAND...
  status=$1
  shift
  output=$("$@" 2>&1)
  got=$?
  echo "$* -> $got: $output"
  [ "$got" -eq "$status" ] || { echo "FAILED: expected $status"; failed=1; }
}

copy_conf examples/scordato "$work/conf"
mkfifo "$work/commands"
"$1/objectstore" "$ports" < "$work/commands" > "$work/objects" &
pids="$pids $!"
exec 3> "$work/commands"
echo "show status-ingresso-1" >&3
for _ in $(seq 300); do
  grep -q 'no object status-ingresso-1' "$work/objects" && break
  sleep 0.1
done
start_vm 1 palermo
start_vm 2 catania
start_vm 3 trapani
version=0
expect_change "$cf" apply "$work/conf"
await_version "$version" 1 2 3
for _ in $(seq 300); do
  echo "show status-ingresso-1" >&3
  sleep 0.1
  grep -q "\"config_version\":$version," "$work/objects" && break
done
grep -q "\"config_version\":$version," "$work/objects" || { echo "FAILED: no status object"; failed=1; }
# The same folder again changes nothing.
expect 0 "$cf" apply "$work/conf"
echo "$output" | grep -q " version $version is accepted$" || { echo "FAILED: another version"; failed=1; }
expect_change "$cf" domain out catania
await_version "$version" 1 2 3
expect_change "$cf" upstream drain prenota-1
expect 2 "$cf" domain out nowhere
# The response is lost after the write took effect: the command reads the outcome back.
echo "lose 1" >&3
expect_change "$cf" domain in catania
await_version "$version" 1 2 3
# The platform is restored from a copy without the last change, and gives that one's tag out again
# before any VM has read the object.
echo "save" >&3
expect_change "$cf" domain out trapani
await_version "$version" 1 2 3
await_messages "configuration version $version from" 3
echo "down" >&3
await_messages "the platform does not answer" 3
echo "restore" >&3
echo "up" >&3
expect_change "$cf" upstream drain prenota-2
await_version "$version" 1 2 3
# The platform stops responding: a restarted VM gets the configuration from its peers, and no VM
# goes back to an older version.
echo "silent" >&3
expect 1 "$cf" domain out palermo
kill -9 "$vm2"
wait "$vm2" 2>/dev/null
start_vm 2 catania
await_version "$version" 1 2 3
echo "up" >&3
expect_change "$cf" domain out palermo
await_version "$version" 1 2 3
for pid in "$vm1" "$vm2" "$vm3"; do
  kill -TERM "$pid"
  wait "$pid" || { echo "FAILED: an entry VM exited with $?"; failed=1; }
done
cat "$work/log"
exit $failed
