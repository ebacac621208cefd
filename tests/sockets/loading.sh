#!/bin/sh
# A SIGHUP that comes while the dynamic loader maps the program's libraries must not end it.
ONLY_WHILE_LOADING=1 exec bash tests/sockets/start.sh "$1"
