#!/usr/bin/env bash
# Runs the case once: 1 if the rule was broken, 0 if it held, 2 if it couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/caraway-platform.jar ] && [ -f target/review/InvalidConfiguration.class ] || exit 2
exec java -Xmx512m -cp target/review InvalidConfiguration review/5/record.txt
