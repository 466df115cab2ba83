#!/bin/sh
# The stand-ins are Python programs without dependencies of their own: only compiles them.
set -e
cd "$(dirname "$0")"
exec python3 -m compileall -q .
