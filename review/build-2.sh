#!/bin/sh
# Compiles the stand-ins of the second review's scripts, with the JDK alone, to target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/harness-2/*.java
