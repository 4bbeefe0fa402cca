#!/usr/bin/env bash
# Runs the driver of the case whose folder is given and keeps its record there.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
folder=$(cd "$1" && pwd)
cd "$folder/../.." || exit 2
driver=target/review/case_$(basename "$folder")
[ -x "$driver" ] && [ -x target/bin/kumquatstage ] || {
    echo "build the deploy file and review/build.sh first" >&2
    exit 2
}
timeout --signal=KILL 118 "$driver" "$folder/record.txt"
status=$?
grep RESULT "$folder/record.txt"
[ "$status" -le 1 ] || status=2
exit "$status"
