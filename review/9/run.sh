#!/bin/sh
# Runs this case: 1 the rule was broken, 0 it held, 2 it couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
RECORD="$here/record.txt"
export RUN_COMMAND RECORD
[ -x "build/review-2/case-$(basename "$here")" ] || { echo "run the build and review/build-2.sh first"; exit 2; }
exec "build/review-2/case-$(basename "$here")"
