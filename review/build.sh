#!/bin/sh
# Builds the stand-ins of the cases. They are Python scripts without
# dependencies, so that is a check that they can be compiled.
cd "$(dirname "$0")" || exit 1
exec python3 -m py_compile common/*.py */run.py
