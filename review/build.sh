#!/bin/sh
# The stand-ins of the cases are Python programs without further packages: there is nothing to
# compile. Checks that this machine can run them.
set -eu
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import ast
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in glob.glob("**/*.py", recursive=True):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PYTHON
