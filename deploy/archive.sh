#!/bin/sh
# Creates daemon/target/saltdale.jsa, a class data archive: the JVM maps the classes needed at start from it instead of
# reading them one by one, which halves the CPU time until a dispatcher serves. To load these classes, a dispatcher
# serves for a moment, with itself as discovery service. If the archive is missing or was made by another JVM, `run`
# continues without it.
set -eu
cd "$(dirname "$0")/.."
at=127.93.71.5:7070  # loopback address that nothing else uses
# The JVM flags must equal those of `run`, or the archive does not fit.
EDGE_NAME=archive EDGE_LISTEN=$at EDGE_DISCOVERY=$at EDGE_CONFIG=deploy/archive.json \
    java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx112m -XX:ArchiveClassesAtExit=daemon/target/saltdale.jsa \
    -jar daemon/target/saltdale.jar serve >daemon/target/archive.log 2>&1 &
pid=$!
sleep 2
kill "$pid" || true
wait "$pid" || true
