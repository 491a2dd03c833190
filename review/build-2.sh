#!/bin/sh
# Prepares what the scripts of cases 6 to 10 start. Their stand-ins are Python
# with its standard library alone and run in the process of the script, so
# they are only compiled.
set -eu
cd "$(dirname "$0")/.."
for file in review/common-2/*.py review/6/*.py review/7/*.py \
    review/9/*.py review/10/*.py; do
    [ -f "$file" ] || continue
    python3 -m py_compile "$file"
done
