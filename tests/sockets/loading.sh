#!/bin/sh
# A SIGHUP that comes while the dynamic loader maps the program's libraries must not end it.
START_CASES=signal_while_loading exec bash tests/sockets/start.sh "$1"
