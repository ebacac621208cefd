#!/bin/sh
# Flows through real processes survive a drain and the replacement of an entry VM.
exec tests/demo.sh "$1"
