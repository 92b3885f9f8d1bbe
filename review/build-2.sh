#!/bin/sh
# Compiles the programs of the cases in review/N/src, together with the stand-ins of review/support/src, each into
# review/target/N. It needs a JDK 17, and no library.
set -eu
review=$(cd "$(dirname "$0")" && pwd)
for sources in "$review"/[0-9]/src; do
    [ -d "$sources" ] || continue
    classes=$review/target/$(basename "$(dirname "$sources")")
    rm -rf "$classes"
    mkdir -p "$classes"
    javac --release 17 --add-modules jdk.httpserver -d "$classes" "$review"/support/src/*.java "$sources"/*.java
done
