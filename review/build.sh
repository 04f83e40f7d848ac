#!/usr/bin/env bash
# The stand-ins are Python files that use the standard library only (Python 3.11 or later).
# There is nothing to compile; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py [1-9]/*.py <<'PY'
import ast, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for name in sys.argv[1:]:
    ast.parse(open(name).read(), name)
PY
