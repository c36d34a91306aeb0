#!/usr/bin/env bash
# Builds what the scripts of the cases start. The stand-ins are Python and need
# the standard library only, so they are checked for syntax; the project's own
# programs come from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
python3 - common/*.py [0-9]*/*.py <<'PY'
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
