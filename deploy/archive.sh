#!/bin/sh
# Makes daemon/target/saltdale.jsa, from which the JVM maps the classes of a start instead of reading them one by one: that
# halves the CPU until a dispatcher serves. One serves for a moment, with itself for discovery, so that these classes
# are loaded. Where the archive is missing or of another JVM, `run` goes on without it.
set -eu
cd "$(dirname "$0")/.."
at=127.93.71.5:7070  # loopback; nothing else goes there
# The flags that decide whether an archive fits are those of `run`.
EDGE_NAME=archive EDGE_LISTEN=$at EDGE_DISCOVERY=$at EDGE_CONFIG=deploy/archive.json \
    java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx112m -XX:ArchiveClassesAtExit=daemon/target/saltdale.jsa \
    -jar daemon/target/saltdale.jar serve >daemon/target/archive.log 2>&1 &
pid=$!
sleep 2
kill "$pid" || true
wait "$pid" || true
