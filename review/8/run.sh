#!/bin/bash
# Plays this case. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin-2 ] || exit 2
exec target/review-2/standin-2 one-version "review/8"
