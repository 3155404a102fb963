#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the limit as it is.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-3 ] && [ -f target/caraway-platform.jar ] && [ -f target/platform.jsa ] || exit 2
exec java -cp target/review-3 StaleHeaderLimit review/14/record.txt
