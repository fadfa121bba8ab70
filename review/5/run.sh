#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/hickoryd ] && [ -x target/review/case-5 ] || exit 2
exec target/review/case-5 "$folder/record.txt"
