#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -f ../target/classes/FirstItem.class ] && [ -f ../../target/saltdale.jar ] || { echo "build first" >&2; exit 2; }
exec java -Xmx256m -cp ../target/classes FirstItem ../.. .
