#!/usr/bin/env bash
# Builds the stand-ins and the cases of review/kit-2 under target/review-2. Run the build line of the deploy file first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/kit-2/*.java
