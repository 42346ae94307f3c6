#!/bin/sh
# Checks what the scripts of the second review need, after the build of the deploy file: the
# stand-ins are Python of the standard library alone, so nothing is compiled or installed.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/bramleylead
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
python3 -m compileall -q review/common-2
