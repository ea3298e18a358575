#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python of the standard
# library (lib2/) or the project's own, with the interpreter of the deploy file's build
# and the libraries that the project declares for the operator's file and the coordination service.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
# Case 9 starts the project's stand-in of the coordination service and two fronts with an operator's file.
.venv/bin/pip -q install -r requirements-operator.txt -r requirements-fleet.txt
for each in review/lib2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py; do
  if test -f "$each"; then
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$each"
  fi
done
