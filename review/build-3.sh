#!/usr/bin/env bash
# The stand-ins of the third review (review/kit3) are Python sources without dependencies; this only
# checks that this machine's Python can compile them. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for source in kit3/*.py 1[1-5]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
