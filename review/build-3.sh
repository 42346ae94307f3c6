#!/bin/sh
# Builds the stand-ins that the scripts of this review start: Python files, run as they are, so it only compiles them in memory.
# The project's own programs are built by the deploy file (deploy/build.sh); no stand-in of the project is used.
set -eu
cd "$(dirname "$0")"
for file in stand_ins_3/*.py 1[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
