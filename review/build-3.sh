#!/bin/sh
# Compiles the stand-ins and scripts of the cases 11 to 15. They need no packages.
set -e
cd "$(dirname "$0")"
python3 -m py_compile common-3/*.py 1[1-5]/*.py
