#!/bin/bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2/classes
javac -d target/review-2/classes -cp 'target/platform/lib/*' review/standin-2/*.java
