#!/bin/sh
# HEAD on a removed route, then GET on the same connection; see claim.txt and ../support/run-case.sh.
here=$(cd "$(dirname "$0")" && pwd)
exec sh "$here/../support/run-case.sh" "$here" HeadToRemovedRoute
