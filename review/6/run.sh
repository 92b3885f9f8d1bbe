#!/bin/sh
# A change is taken, its answer is lost, and it is refused when it is sent again; see claim.txt and ../support/run-case.sh.
here=$(cd "$(dirname "$0")" && pwd)
exec sh "$here/../support/run-case.sh" "$here" RefusedThoughInForce
