#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x bin/adapter ] && [ -x bin/standin2 ] || exit 2
REVIEW_ROOT=$(pwd) exec bin/standin2 stale-instance "$here/record.txt"
