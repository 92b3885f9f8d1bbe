#!/bin/sh
# Runs the case; exit status 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: no disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
classes=$root/review/target/4
if [ ! -f "$root/target/saltdale.jar" ] || [ ! -d "$classes" ]; then
    echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
    exit 2
fi
timeout -k 5 110 java -Xmx64m -cp "$classes" HeadToRemovedRoute "$root" "${TMPDIR:-/tmp}" "$here/record.txt"
status=$?
tail -n 3 "$here/record.txt"
[ "$status" -le 2 ] || status=2
exit "$status"
