#!/usr/bin/env bash
# Runs case.py of a folder: exit code 0 if the rule held, 1 if it was broken, 2 if it couldn't run.
# usage: run_case.sh FOLDER; TROUBLE=0 leaves the disruption out.
folder="$(cd "$1" && pwd)"
cd "$(dirname "$0")/../.." || exit 2
test -d target/review || exit 2
export PYTHONPATH="target/deps:target/review"
export TROUBLE="${TROUBLE:-1}"
python3 "$folder/case.py"
# An error of Python itself ends with 1, so the case uses other codes.
case $? in
  10) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
