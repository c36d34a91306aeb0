#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the programs of
# the deploy file. Their stand-ins are Python and need no build: this checks that
# the interpreter is recent enough, and that each file compiles.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
  echo "build-3.sh: Python 3.11 or later is needed" >&2
  exit 1
}
for file in lib-3/*.py 1[1-5]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
