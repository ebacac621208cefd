#!/bin/sh
# Exit status and messages of the commands.
set -u

cf=$1/cyclamenferry
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0
export CYCLAMENFERRY_FLEET_KEY=

expect() { # STATUS TEXT COMMAND...
  status=$1
  text=$2
  shift 2
  output=$("$@" 2>&1)
  got=$?
  if [ "$got" -ne "$status" ] || ! printf '%s' "$output" | grep -qF -- "$text"; then
    echo "FAILED: $* gave $got and '$output'; expected $status and '$text'"
    failed=1
  fi
}

mkdir "$work/empty" "$work/bad"
printf '[upstream a]\nweight=0\n' > "$work/bad/a.conf"
key=00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
vm="--name x --failure-domain y --address 127.0.0.9"

expect 2 "COMMAND" "$cf"
expect 2 "no command 'fly'" "$cf" fly
expect 0 "Commands:" "$cf" --help
expect 0 "cyclamenferry 0.1.0" "$cf" --version
expect 0 "no faults" "$cf" check examples/scordato
expect 2 "no file *.conf" "$cf" check "$work/empty"
expect 2 "a.conf:2: [upstream a] weight: 0 is outside 1 to 1000" "$cf" check "$work/bad"
expect 2 "No such file" "$cf" check "$work/none"
printf '{"version":1,"routes":[],"services":[{"name":"s"}]}' > "$work/m.json"
printf '{"version":1,"routes":4}' > "$work/bad.json"
expect 2 "is missing" "$cf" check
expect 2 "routes: 4 is not allowed" "$cf" check "$work/bad.json"
expect 0 "warning: $work/m.json: services[0]: no route" "$cf" check "$work/m.json"
expect 1 "service-without-route" "$cf" check --strict "$work/m.json"
expect 0 '"warnings" : 1' "$cf" check --json "$work/m.json"
expect 2 "exclude each other" "$cf" check --against x --against-store y "$work/m.json"
expect 2 "127.0.0.1:1: Could not connect" "$cf" check --against-store 127.0.0.1:1 "$work/m.json"
expect 2 "no input is of its kind" "$cf" check --against "$work/m.json" examples/scordato
if [ "$("$cf" check --against examples/scordato examples/scordato 2>&1)" ]; then
  echo "FAILED: a folder differs from itself"
  failed=1
fi
expect 2 "--name: missing" "$cf" serve
expect 2 "--fleet-key: missing" "$cf" serve $vm --config-dir examples/scordato
expect 2 "--fleet-key: not 64" "$cf" serve --fleet-key 12
expect 2 "--peer-port: '99999' is not a number" "$cf" serve --peer-port 99999
expect 2 "--address: not an IPv4" "$cf" serve --address nowhere
expect 2 "a.conf:2" "$cf" serve $vm --fleet-key $key --config-dir "$work/bad"
expect 2 "must differ" "$cf" serve $vm --fleet-key $key --config-dir "$work" --peer-port 6080
expect 0 "CYCLAMENFERRY_LINGER" "$cf" serve --help
expect 1 "127.0.0.1:1" "$cf" status --admin http://127.0.0.1:1
expect 2 "platform: missing" "$cf" apply examples/scordato
expect 2 "neither 'out' nor 'in'" "$cf" domain away palermo --platform http://127.0.0.1:1
expect 1 "nothing was changed" "$cf" domain out palermo --platform http://127.0.0.1:1
exit $failed
