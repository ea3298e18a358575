#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python of the standard
# library (lib2/) and run with the interpreter of the deploy file's build: nothing is installed, and it is only
# checked that each can be compiled.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
for each in review/lib2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py; do
  if test -f "$each"; then
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$each"
  fi
done
