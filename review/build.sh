#!/usr/bin/env bash
# Compiles the stand-ins and the cases. They use the JDK only.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -Xlint:all,-serial -d build kit/*.java [0-9]*/*.java
