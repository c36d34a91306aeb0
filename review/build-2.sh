#!/usr/bin/env bash
# Builds what the scripts of the second review start beyond the build of the
# deploy file. Their stand-ins, review/standins-2, are Python and need the standard
# library only, so they are checked for syntax; none of the project's own stand-ins
# is started.
set -eu
cd "$(dirname "$0")"
python3 - standins-2/*.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'PY'
import ast
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
print(len(sys.argv) - 1, "files checked")
PY
test -x ../target/daemon/jacinthpickd || {
  echo "the build of deploy/system.toml is missing: target/daemon/jacinthpickd" >&2
  exit 1
}
