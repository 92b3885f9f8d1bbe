#!/bin/sh
# Many changes of a configuration of one size; see claim.txt and ../support/run-case.sh.
here=$(cd "$(dirname "$0")" && pwd)
exec sh "$here/../support/run-case.sh" "$here" ChangedWeights
