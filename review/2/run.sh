#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
# run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file
# and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/standin ] || exit 2
[ -x target/bin/wigeonstair-scheduler ] || exit 2
exec target/review/standin power-loss "$here/record.txt"
