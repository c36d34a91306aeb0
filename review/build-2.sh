#!/usr/bin/env bash
# Builds what the scripts of the second review start beyond the build of the
# deploy file. Their stand-ins are one Python module, review/standins-2/fleet.py,
# which is only checked here; none of the project's own stand-ins is started.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PY'
import ast
with open("review/standins-2/fleet.py", encoding="utf-8") as file:
    ast.parse(file.read())
PY
test -x target/daemon/jacinthpickd || {
  echo "run the build command of deploy/system.toml first" >&2
  exit 1
}
