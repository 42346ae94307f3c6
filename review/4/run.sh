#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out. Exit codes: 0 held, 1 broken, 2 couldn't run.
folder="$(dirname "$0")"
exec bash "$folder/../common/run_case.sh" "$folder"
