#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of review/ start.
set -eu
cd "$(dirname "$0")"
mkdir -p target/classes
javac -nowarn -d target/classes harness/*.java [0-9]/*.java
