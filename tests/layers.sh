#!/bin/sh
# Checks that each file of src/gue calls only files that stand before it in the list of
# src/gue/internal.h, that the runtime and the daemons include only what is below them, that no task
# calls another, that files of a folder do not use each other in a cycle, and that JSON and answers
# over HTTP are read in one place each, where their depth, size and time are bounded.  The argument is
# the build folder.
set -eu

build=$1
objects=$build/src/gue
layers=$(sed -n 's|^/\* \([a-z_]*\)\.c \*/$|\1|p' src/gue/internal.h)
layers="flow_table owners $layers explain core status"
count=$(ls src/gue/*.c | wc -l)
if [ "$(echo $layers | wc -w)" -ne "$count" ]; then
  echo "src/gue has $count files, but the list of layers names $(echo $layers | wc -w)"
  exit 1
fi
status=0
above=$(mktemp)
symbols=$(mktemp)
trap 'rm -f "$above" "$symbols"' EXIT
# Checks that no file of FOLDER includes one of the folders in ABOVE (a pattern).
below() { # FOLDER ABOVE
  if grep -n "^#include \"\($2\)/" "src/$1"/*.[ch]; then
    echo "src/$1 includes a folder that it must not know"
    status=1
  fi
}
daemons='gued\|balancer\|check\|cli'
below runtime "$daemons\|gue\|balance\|feed\|peer\|config\|objectstore\|platform"
below gued 'balancer\|check\|cli\|balance\|feed\|platform'
below balancer 'gued\|check\|cli\|gue\|peer\|config\|objectstore'
for folder in base config packet gue balance feed peer objectstore; do
  below $folder "$daemons\|runtime"
done
# "U" (uses) or "D" (defines), folder/file.o and symbol, of all objects.
find "$build/src" "$build/platform" "$build/bench" -name '*.o' -exec nm -A -g {} + 2> /dev/null \
  | awk -v skip="$build/" '{
      file = $1
      sub (/:.*/, "", file)
      print $(NF - 1) == "U" ? "U" : "D", substr (file, length (skip) + 1), $NF
    }' > "$symbols"
# Checks that no file of USER uses what a file of OTHER defines (patterns of objects).
separate() { # USER OTHER REASON
  if awk -v user="^src/$1[.]o$" -v other="^src/$2[.]o$" '
      NR == FNR { if ($1 == "D" && $2 ~ other) defined[$3] = $2; next }
      $1 == "U" && $2 ~ user && $3 in defined { print $2, "uses", $3, "of", defined[$3]; found = 1 }
      END { exit !found }' "$symbols" "$symbols"; then
    echo "$3"
    status=1
  fi
}
# Checks that the files of FOLDER do not use each other in a cycle.
acyclic() { # FOLDER
  cycle=$(awk -v folder="^$1/" '
      $2 !~ folder { next }
      NR == FNR { if ($1 == "D") defined[$3] = $2; next }
      $1 == "U" && $3 in defined { print $2, defined[$3] }' "$symbols" "$symbols" \
    | tsort 2>&1 > /dev/null) || true
  if [ "$cycle" ]; then
    echo "files of $1 use each other in a cycle: $cycle"
    status=1
  fi
}
# Checks the same as separate in both directions for each two of the tasks, or parts of one.
apart() { # REASON OBJECTS...
  reason=$1
  shift
  while [ $# -gt 1 ]; do
    first=$1
    shift
    for other; do
      separate "$first" "$other" "$reason"
      separate "$other" "$first" "$reason"
    done
  done
}
# Prints the objects of the program, except FILE, that call a function that matches PATTERN.
callers() { # PATTERN FILE
  find "$1/src" "$1/platform" -name '*.o' ! -name "$3.o" -exec nm -A -u {} + | grep " U $2" || true
}
if callers "$1" 'json_\(parser_\(new\|load\)\|from_string\|reader_new\)' json_text | grep .; then
  echo "JSON is parsed without base/json_text.c, which bounds its depth"
  status=1
fi
if callers "$1" 'soup_session_\(send\|preconnect\)' http_call | grep .; then
  echo "a call is sent without base/http_call.c, which bounds its time and its answer"
  status=1
fi
apart "tasks post messages to each other" 'gued/packet_.*' gued/peer_task gued/health_task \
  gued/platform_task gued/folder_task gued/admin_task
apart "tasks post messages to each other" 'balancer/datapath_.*' 'balancer/feed_.*' \
  'balancer/.*admin_task'
parts='balancer/feed_store balancer/feed_follow balancer/feed_relay balancer/feed_enroll
  balancer/feed_records balancer/feed_rotation balancer/feed_reports'
apart "parts of the feed change it by the calls of its interface" $parts
for part in $parts balancer/feed_gossip; do
  separate $part balancer/feed_task "parts of the feed change it by the calls of its interface"
done
for folder in src/base src/config src/packet src/gue src/peer src/balance src/feed src/objectstore \
  platform src/runtime src/gued src/balancer src/check src/cli bench; do
  acyclic $folder
done
truncate -s 0 "$above"
for layer in $(echo "$layers" | tr ' ' '\n' | tac); do
  # The highest layer is visited first; $above lists the symbols of the layers visited so far.
  for symbol in $(nm -u "$objects/$layer.o" | awk '{ print $2 }' | grep '^cf_' || true); do
    if grep -q "^$symbol " "$above"; then
      echo "$layer.c calls $(grep "^$symbol " "$above"), a layer above it"
      status=1
    fi
  done
  nm --defined-only -g "$objects/$layer.o" | awk -v file="$layer.c" '{ print $3, "of", file }' >> "$above"
done
exit $status
