#!/usr/bin/env bash
# Builds the stand-ins of all cases.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/standin/*.java
