#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same without the disruption.
TROUBLE=${TROUBLE:-1}
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
[ -x review/out/case-1 ] || { echo "run review/build.sh first" >&2; exit 2; }
exec review/out/case-1 review/1
