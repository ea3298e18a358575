#!/bin/sh
# Builds the stand-ins: they need only the interpreter of the deploy file's build, so this checks that they compile.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/lib review/[0-9]
