#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python programs (review/lib-2), which
# need no build. Checks that they can be loaded.
set -eu
cd "$(dirname "$0")/.."
exec python3 -B -c 'import sys; sys.path.insert(0, "review/lib-2"); import fleet'
