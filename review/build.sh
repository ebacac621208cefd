#!/bin/sh
# Builds the stand-ins that the scripts of review/ start, into target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
gcc -std=gnu11 -O2 -g -Wall -Wextra review/rig.c -o target/review/rig \
  $(pkg-config --cflags --libs glib-2.0 gio-2.0 libsoup-3.0 json-glib-1.0)
