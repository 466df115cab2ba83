#!/bin/sh
# Builds the stand-ins of cases 6 to 10: they need the standard library only.
set -e
cd "$(dirname "$0")"
exec python3 -m compileall -q common_2 [6-9] 10
