#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/review/bin/long_numbers"
if [ ! -x "$program" ] || [ ! -x "$root/build/nettlestall" ]; then
    echo "not built: run the build of the deploy file and review/build.sh" >&2
    exit 2
fi
timeout -k 2 110 "$program" "$root" "$here/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
