#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, the project's own among them.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/deps/.installed || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
rm -rf target/review
mkdir -p target/review
cp src/bramleylead/standins/_platform_store.py target/review/platform_store.py
cp src/bramleylead/standins/_serving.py target/review/serving.py
cp review/common/*.py target/review/
python3 -m compileall -q -f target/review
