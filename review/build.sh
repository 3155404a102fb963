#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs the JDK of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/harness/*.java
