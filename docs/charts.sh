#!/usr/bin/env bash
# Plays the baselines of the circuit groups on the same seeds and draws docs/glare-baselines.svg; prints the table.
#     docs/charts.sh build/nettlestall_lab
# Needs gnuplot (Debian: gnuplot-nox).
set -euo pipefail
cd "$(dirname "$0")/.."
lab=$1
data=$(mktemp -d)
trap 'rm -r "$data"' EXIT
value() { sed -n "s/.*\"$2\":\([0-9.]*\).*/\1/p" "$1"; }

echo "| | glares in 100 seizures | turned back at the far end or lost, in 100 calls | utilisation | stuck at the end |"
echo "| --- | --- | --- | --- | --- |"
row() {  # name, flags
    local name=$1 seed
    shift
    for seed in 1 2 3 4 5 6 7 8 9 10; do
        "$lab" glare --seed $seed --load 0.5 --no-crashes --json "$@" >"$data/run"
        echo "$(value "$data/run" seizures) $(value "$data/run" glares) $(value "$data/run" calls) $(value "$data/run" stood) \
$(value "$data/run" utilisation) $(value "$data/run" stuck_circuits)"
    done | awk -v name="$name" '{s += $1; g += $2; c += $3; t += $4; u += $5; k += $6}
        END {printf "| %s | %.1f | %.1f | %.3f | %.1f |\n", name, 100 * g / s, 100 * (c - t) / c, u / NR, k / NR}'
}
row "as built"
row "no parity: both ends hunt from the lowest circuit" --no-parity
row "no audits" --no-audits
row "neither" --no-parity --no-audits

for kind in built audits; do
    flags=; [ $kind = audits ] && flags=--no-audits
    for seed in 1 2 3 4 5; do
        "$lab" glare --seed $seed --hours 6 --load 0.5 --no-crashes --samples $flags | grep -v '^{'
    done | awk '{n[$1]++; s[$1] += $2; b[$1] += $3} END {for (h in n) print h, 100 * s[h] / n[h], 100 * b[h] / n[h]}' |
        sort -n >"$data/$kind"
done
gnuplot <<PLOT
set terminal svg size 760,420 font "sans,12"
set output "docs/glare-baselines.svg"
set title "Two hubs, 30 circuits, six hours of faults without crashes; mean of five seeds"
set xlabel "hours"
set ylabel "share of the circuits, %"
set yrange [0:100]
set key outside right top
plot "$data/built" using 1:2 with lines lw 2 title "stuck, as built", \
     "$data/audits" using 1:2 with lines lw 2 title "stuck, no audits", \
     "$data/built" using 1:3 with lines lw 2 dt 2 title "in use, as built", \
     "$data/audits" using 1:3 with lines lw 2 dt 2 title "in use, no audits"
PLOT
