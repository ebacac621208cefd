#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 in build/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for folder in review/6 review/7 review/8 review/9 review/10; do
  [ -f "$folder/case.c" ] || continue
  gcc -std=gnu11 -Wall -Wextra -O2 -g -D_GNU_SOURCE -o "build/review-2/case-${folder#review/}" \
    "$folder/case.c" review/lab-2.c review/lab-2-store.c review/lab-2-flows.c
done
