#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. It needs a JDK 17 and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -Xlint:all -Xlint:-try --release 17 -d target/review-3 review/harness-3/*.java
