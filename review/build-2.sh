#!/bin/sh
# Compiles the programs of the cases in review/N/src, each into review/target/N. It needs a JDK 17, and no library.
set -eu
review=$(cd "$(dirname "$0")" && pwd)
for sources in "$review"/[0-9]/src; do
    [ -d "$sources" ] || continue
    case=$(basename "$(dirname "$sources")")
    classes=$review/target/$case
    rm -rf "$classes"
    mkdir -p "$classes"
    javac --release 17 --add-modules jdk.httpserver -d "$classes" "$sources"/*.java
done
