#!/usr/bin/env bash
# Prepares the cases 6 to 10 of review/. Their stand-ins are Python programs, so nothing has to be
# compiled; this checks that they can be loaded. The project's own stand-ins are not started.
set -euo pipefail
cd "$(dirname "$0")"
python3 - kit2/*.py [6-9]/case.py 10/case.py <<'PYTHON'
import os
import sys

for name in sys.argv[1:]:
    if os.path.exists(name):
        with open(name, encoding="utf-8") as file:
            compile(file.read(), name, "exec")
PYTHON
