#!/bin/sh
# Checks bad input to the adapter, whose path is $1: it replies to the valid line, writes one line to standard
# error for the bad one and ends with exit code 1.
out=$(mktemp) && err=$(mktemp) || exit 1
trap 'rm -f "$out" "$err"' EXIT
printf '{"ts_s":1.0,"n":1,"groups":[]}\n{"ts_s":1.1\n' | "$1" >"$out" 2>"$err"
code=$?
[ "$code" -eq 1 ] || { echo "exit $code"; exit 1; }
[ "$(wc -l <"$out")" -eq 1 ] || { echo "standard output: $(cat "$out")"; exit 1; }
[ "$(cat "$err")" = "nettlestall_wirehost: line 2: not JSON" ] || { echo "standard error: $(cat "$err")"; exit 1; }
