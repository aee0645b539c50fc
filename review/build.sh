#!/usr/bin/env bash
# The stand-ins are Python programs without dependencies, so nothing is
# compiled. Checks that they can run here, and that the program of the deploy
# file is built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import ast, glob, sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for name in glob.glob("review/lib/*.py") + glob.glob("review/*/case.py"):
    ast.parse(open(name).read(), name)
PYTHON
[ -x target/flamingoyoked-platform ] || {
  echo "target/flamingoyoked-platform is missing: run the deploy file's build" >&2
  exit 2
}
