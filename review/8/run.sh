#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -f target/review-2/classes/CaseLeave.class ] || exit 2
timeout -k 1 115 java -Xmx256m -XX:+UseSerialGC -cp 'target/review-2/classes:target/platform/lib/*' CaseLeave "$folder"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
