#!/bin/sh
# Runs a case: run-case.sh FOLDER CLASS. Exit status 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0: the same without the disruption.
set -u
folder=$1
root=$(cd "$folder/../.." && pwd)
classes=$root/review/target/$(basename "$folder")
if [ ! -f "$root/target/saltdale.jar" ] || [ ! -d "$classes" ]; then
    echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
    exit 2
fi
timeout -k 5 116 java -Xmx256m -cp "$classes" "$2" "$root" "${TMPDIR:-/tmp}" "$folder/record.txt"
status=$?
tail -n 2 "$folder/record.txt"
[ "$status" -le 2 ] || status=2
exit "$status"
